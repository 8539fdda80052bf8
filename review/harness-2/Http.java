import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 on blocking sockets with keep-alive: a client connection, and a server with a thread per connection. */
final class Http {

    private Http() {}

    record Message(String first, Map<String, String> headers, String body) {

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }
    }

    record Reply(int status, String body) {}

    interface Handler {
        /** Returns the reply, or null if the connection is to be closed without one. */
        Reply handle(Message request) throws Exception;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder result = new StringBuilder();
        int c = in.read();
        while (c >= 0 && c != '\n') {
            if (c != '\r') {
                result.append((char) c);
            }
            c = in.read();
        }
        return c < 0 && result.length() == 0 ? null : result.toString();
    }

    static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        String next = line(in);
        while (next != null && !next.isEmpty()) {
            int colon = next.indexOf(':');
            headers.put(
                    next.substring(0, colon).toLowerCase(Locale.ROOT),
                    next.substring(colon + 1).trim());
            next = line(in);
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (next == null || body.length < length) {
            throw new IOException("the message is cut short");
        }
        return new Message(first, headers, new String(body, StandardCharsets.UTF_8));
    }

    static byte[] bytes(String first, Map<String, String> headers, String body) {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder(first).append("\r\n");
        headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
        head.append("Content-Type: application/json\r\nContent-Length: ")
                .append(content.length)
                .append("\r\n\r\n");
        byte[] start = head.toString().getBytes(StandardCharsets.UTF_8);
        byte[] all = new byte[start.length + content.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(content, 0, all, start.length, content.length);
        return all;
    }

    /** A connection of a client. */
    static final class Connection implements AutoCloseable {

        private final Socket socket = new Socket();
        private final InputStream in;

        Connection(int port, int connectMillis) throws IOException {
            socket.connect(new InetSocketAddress("127.0.0.1", port), connectMillis);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String method, String path, Map<String, String> headers, String body) throws IOException {
            socket.getOutputStream().write(bytes(method + " " + path + " HTTP/1.1", headers, body));
        }

        Message receive(int timeoutMillis) throws IOException {
            socket.setSoTimeout(timeoutMillis);
            Message reply = read(in);
            if (reply == null) {
                throw new IOException("the connection ended without an answer");
            }
            return reply;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A server. Closing it breaks its connections, as the end of a process does. */
    static final class Server implements AutoCloseable {

        private final ServerSocket socket;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private volatile boolean closed;

        Server(int port, Handler handler) throws IOException {
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress("127.0.0.1", port), 256);
            Threads.start(() -> {
                while (!closed) {
                    Socket accepted = socket.accept();
                    open.add(accepted);
                    Threads.start(() -> serve(accepted, handler));
                }
            });
        }

        int port() {
            return socket.getLocalPort();
        }

        private void serve(Socket accepted, Handler handler) throws Exception {
            try (accepted) {
                accepted.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(accepted.getInputStream());
                OutputStream out = accepted.getOutputStream();
                Message request = read(in);
                while (request != null && !closed) {
                    Reply reply = handler.handle(request);
                    if (reply == null || closed) {
                        return;
                    }
                    out.write(bytes("HTTP/1.1 " + reply.status() + " X", Map.of(), reply.body()));
                    request = read(in);
                }
            } finally {
                open.remove(accepted);
            }
        }

        @Override
        public void close() throws IOException {
            closed = true;
            socket.close();
            for (Socket each : open) {
                each.close();
            }
        }
    }
}
