package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** HTTP servers on loopback, and free ports. */
final class Web {

    private static final int MIN_PORT = 15_000;
    private static final int MAX_PORT = 32_000;
    private static final Set<Integer> GIVEN = new HashSet<>();

    private Web() {}

    /** Returns a free port below those that outgoing connections take, and none twice. */
    static synchronized int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            if (GIVEN.add(port) && isFree(port)) {
                return port;
            }
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    static HttpServer serve(int port, HttpHandler handler) {
        try {
            HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 64);
            server.setExecutor(Executors.newCachedThreadPool(body -> {
                Thread thread = new Thread(body);
                thread.setDaemon(true);
                return thread;
            }));
            server.createContext("/", exchange -> {
                try {
                    handler.handle(exchange);
                } catch (RuntimeException e) {
                    e.printStackTrace();
                    exchange.close();
                }
            });
            server.start();
            return server;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static String body(HttpExchange exchange) throws IOException {
        return new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> result = new HashMap<>();
        String text = exchange.getRequestURI().getRawQuery();
        for (String pair : text == null ? new String[0] : text.split("&")) {
            int equals = pair.indexOf('=');
            result.put(decode(pair.substring(0, equals)), decode(pair.substring(equals + 1)));
        }
        return result;
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    static void reply(HttpExchange exchange, int status, Object body) throws IOException {
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
