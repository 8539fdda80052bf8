package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the platform's store: rows in tables, transactions under conditions, and a feed of changes. */
final class Store implements AutoCloseable {

    private record Row(String table, String part, String key, String value, long version) {}

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private final HttpServer server;
    private final int port = Web.freePort();
    private final long startedAt = System.nanoTime();
    private long version;

    Store() {
        server = Web.serve(port, this::handle);
    }

    int port() {
        return port;
    }

    /** The operator writes a row; the version returned is its acknowledgement. */
    synchronized long operatorPut(String key, Object document) {
        version++;
        byte[] bytes = Json.write(document).getBytes(StandardCharsets.UTF_8);
        apply(new Row("op", "", key, Base64.getEncoder().encodeToString(bytes), version));
        notifyAll();
        return version;
    }

    private void apply(Row row) {
        if (row.value() == null) {
            rows.remove(id(row.table(), row.part(), row.key()));
        } else {
            rows.put(id(row.table(), row.part(), row.key()), row);
        }
        history.add(row);
    }

    private static String id(String table, String part, String key) {
        return table + '\u0001' + part + '\u0001' + key;
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = Web.body(exchange);
        switch (exchange.getRequestURI().getPath()) {
            case "/rows-get" -> Web.reply(exchange, 200, read(Web.query(exchange)));
            case "/rows-feed" -> Web.reply(exchange, 200, feed(Web.query(exchange)));
            case "/rows-tx" -> {
                Map<String, Object> conflict = commit(Json.object(body));
                Web.reply(exchange, conflict == null ? 200 : 412, conflict == null ? answer() : conflict);
            }
            default -> Web.reply(exchange, 404, Json.map());
        }
    }

    private Map<String, Object> answer() {
        return Json.map("ver", version, "now_ms", (System.nanoTime() - startedAt) / 1_000_000);
    }

    private static Map<String, Object> document(Row row) {
        Map<String, Object> result = Json.map("table", row.table(), "part", row.part(), "key", row.key());
        if (row.value() == null) {
            result.put("removed", true);
        } else {
            result.put("value", row.value());
        }
        result.put("ver", row.version());
        return result;
    }

    private synchronized Map<String, Object> read(Map<String, String> query) {
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        List<Object> found = new ArrayList<>();
        boolean more = false;
        for (Row row : rows.values()) {
            boolean matches = row.table().equals(query.get("table"))
                    && row.part().equals(query.getOrDefault("part", ""))
                    && row.key().compareTo(query.getOrDefault("from", "")) >= 0
                    && (!query.containsKey("target") || row.key().compareTo(query.get("target")) < 0);
            if (matches && found.size() == limit) {
                more = true;
            } else if (matches) {
                found.add(document(row));
            }
        }
        Map<String, Object> result = Json.map("rows", found, "has_more", more);
        result.putAll(answer());
        return result;
    }

    private synchronized Map<String, Object> feed(Map<String, String> query) {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        List<Object> found = changes(query.get("table"), after);
        while (found.isEmpty() && until - System.nanoTime() > 1_000_000) {
            try {
                wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            found = changes(query.get("table"), after);
        }
        Map<String, Object> result = Json.map("rows", found);
        result.putAll(answer());
        return result;
    }

    private List<Object> changes(String table, long after) {
        List<Object> found = new ArrayList<>();
        for (Row row : history) {
            if (row.table().equals(table) && row.version() > after) {
                found.add(document(row));
            }
        }
        return found;
    }

    @SuppressWarnings("unchecked")
    private synchronized Map<String, Object> commit(Map<String, Object> call) {
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Object entry : (List<Object>) call.getOrDefault("precondition", List.of())) {
            Map<String, Object> wanted = (Map<String, Object>) entry;
            Row row = rows.get(id((String) wanted.get("table"), (String) wanted.get("part"), (String) wanted.get("key")));
            holds &= Json.number(wanted, "ver", 0) == (row == null ? 0 : row.version());
            if (row != null) {
                current.add(document(row));
            }
        }
        if (!holds) {
            Map<String, Object> result = Json.map("rows", current);
            result.putAll(answer());
            return result;
        }
        version++;
        for (String list : List.of("writes", "remove")) {
            for (Object entry : (List<Object>) call.getOrDefault(list, List.of())) {
                Map<String, Object> row = (Map<String, Object>) entry;
                apply(new Row(
                        (String) row.get("table"),
                        (String) row.get("part"),
                        (String) row.get("key"),
                        list.equals("writes") ? (String) row.get("value") : null,
                        version));
            }
        }
        notifyAll();
        return null;
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
