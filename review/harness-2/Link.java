import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A relay for one listening port. While it is cut, it is silent: nothing passes in either direction. What arrives
 * meanwhile is kept, as a network stack sends it again, and is lost if its sender closes the connection in the cut.
 */
final class Link implements AutoCloseable {

    private final ServerSocket socket;
    private final int target;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;
    private volatile boolean closed;

    Link(int target) throws IOException {
        this.target = target;
        this.socket = new ServerSocket();
        socket.bind(new InetSocketAddress("127.0.0.1", 0), 256);
        Threads.start(() -> {
            while (!closed) {
                Socket accepted = socket.accept();
                open.add(accepted);
                Threads.start(() -> serve(accepted));
            }
        });
    }

    int port() {
        return socket.getLocalPort();
    }

    void cut(boolean isCut) {
        cut = isCut;
    }

    /** Reads what has arrived into the buffer; returns false at the end of the connection. */
    private static boolean readInto(ByteArrayOutputStream kept, Socket from, byte[] buffer) throws IOException {
        try {
            int read = from.getInputStream().read(buffer);
            if (read > 0) {
                kept.write(buffer, 0, read);
            }
            return read >= 0;
        } catch (SocketTimeoutException e) {
            return true;
        }
    }

    private void serve(Socket accepted) throws Exception {
        accepted.setTcpNoDelay(true);
        accepted.setSoTimeout(2);
        ByteArrayOutputStream kept = new ByteArrayOutputStream();
        byte[] buffer = new byte[65_536];
        while (cut && !closed) {
            if (!readInto(kept, accepted, buffer)) {
                accepted.close();
                return;
            }
        }
        Socket other = new Socket();
        try {
            other.connect(new InetSocketAddress("127.0.0.1", target), 1_000);
        } catch (IOException e) {
            accepted.close();
            return;
        }
        other.setTcpNoDelay(true);
        other.setSoTimeout(2);
        open.add(other);
        Threads.start(() -> pump(other, accepted, new ByteArrayOutputStream()));
        pump(accepted, other, kept);
    }

    private void pump(Socket from, Socket to, ByteArrayOutputStream kept) throws Exception {
        byte[] buffer = new byte[65_536];
        try (from;
                to) {
            boolean more = true;
            while (more && !closed) {
                if (!cut && kept.size() > 0) {
                    to.getOutputStream().write(kept.toByteArray());
                    kept.reset();
                }
                more = readInto(kept, from, buffer);
            }
            if (!cut && kept.size() > 0) {
                to.getOutputStream().write(kept.toByteArray());
            }
        } finally {
            open.remove(from);
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
