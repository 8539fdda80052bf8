import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: rows with versions, transactions and a feed. */
final class Store implements AutoCloseable {

    private record Row(String table, String part, String key, String value, long ver, boolean removed) {

        Map<String, Object> json() {
            Map<String, Object> row = Json.map("table", table, "part", part, "key", key, "ver", ver);
            if (removed) {
                row.put("removed", true);
            } else {
                row.put("value", value);
            }
            return row;
        }
    }

    private final Map<String, Row> rows = new TreeMap<>();
    private final Http.Server server;
    private long ver;

    Store() throws IOException {
        server = new Http.Server(0, this::handle);
    }

    int port() {
        return server.port();
    }

    /** Writes a row of the operator; null removes it. */
    synchronized void operator(String key, String json) {
        ver++;
        String value = json == null
                ? null
                : Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
        put(new Row("op", "", key, value, ver, json == null));
        notifyAll();
    }

    private void put(Row row) {
        rows.put(row.table() + "\0" + row.part() + "\0" + row.key(), row);
    }

    private static Map<String, String> query(String target) {
        Map<String, String> result = new HashMap<>();
        int start = target.indexOf('?');
        if (start >= 0) {
            for (String pair : target.substring(start + 1).split("&")) {
                int equals = pair.indexOf('=');
                result.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return result;
    }

    private Http.Reply handle(Http.Message request) throws Exception {
        Threads.sleep(4);
        String path = request.target().split("\\?")[0];
        Map<String, String> query = query(request.target());
        return switch (path) {
            case "/rows-get" -> get(query);
            case "/rows-feed" -> feed(query);
            case "/rows-tx" -> transact(Json.object(request.body()));
            default -> new Http.Reply(404, "{}");
        };
    }

    private Map<String, Object> answer(List<Row> found) {
        List<Object> list = new ArrayList<>();
        found.forEach(row -> list.add(row.json()));
        return Json.map("ver", ver, "now_ms", System.nanoTime() / 1_000_000, "rows", list, "has_more", false);
    }

    private synchronized Http.Reply get(Map<String, String> query) {
        String from = query.getOrDefault("from", "");
        String target = query.getOrDefault("target", "");
        List<Row> found = rows.values().stream()
                .filter(row -> !row.removed() && row.table().equals(query.get("table")))
                .filter(row -> row.part().equals(query.getOrDefault("part", "")))
                .filter(row -> row.key().compareTo(from) >= 0)
                .filter(row -> target.isEmpty() || row.key().compareTo(target) < 0)
                .limit(Integer.parseInt(query.getOrDefault("limit", "500")))
                .toList();
        return new Http.Reply(200, Json.write(answer(found)));
    }

    private synchronized Http.Reply feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (true) {
            List<Row> found = rows.values().stream()
                    .filter(row -> row.table().equals(query.get("table")) && row.ver() > after)
                    .sorted(Comparator.comparingLong(Row::ver))
                    .toList();
            long leftMillis = (until - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || leftMillis <= 0) {
                return new Http.Reply(200, Json.write(answer(found)));
            }
            wait(leftMillis);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Reply transact(Map<String, Object> call) {
        for (Object each : (List<Object>) call.getOrDefault("precondition", List.of())) {
            Map<String, Object> wanted = (Map<String, Object>) each;
            Row row = rows.get(name(wanted));
            if ((row == null || row.removed() ? 0 : row.ver()) != Json.number(wanted, "ver")) {
                return new Http.Reply(412, Json.write(answer(row == null ? List.of() : List.of(row))));
            }
        }
        ver++;
        for (Object each : (List<Object>) call.getOrDefault("writes", List.of())) {
            Map<String, Object> row = (Map<String, Object>) each;
            put(new Row(
                    (String) row.get("table"),
                    (String) row.get("part"),
                    (String) row.get("key"),
                    (String) row.get("value"),
                    ver,
                    false));
        }
        for (Object each : (List<Object>) call.getOrDefault("remove", List.of())) {
            Map<String, Object> row = (Map<String, Object>) each;
            put(new Row(
                    (String) row.get("table"), (String) row.get("part"), (String) row.get("key"), null, ver, true));
        }
        notifyAll();
        return new Http.Reply(200, Json.write(answer(List.of())));
    }

    private static String name(Map<String, Object> row) {
        return row.get("table") + "\0" + row.get("part") + "\0" + row.get("key");
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
