import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A worker that does not guard its capacity. Each start is a life of its own, which knows nothing of the one before.
 * The spec of a task is "cpu=C ms=M".
 */
final class Worker implements AutoCloseable {

    private static final long MAX_HOLD_MILLIS = 1_000;
    private static final int STOP_MILLIS = 10;
    private static final int LATE_MILLIS = 4_000;
    private static final int CALL_TIMEOUT_MILLIS = 1_000;

    /** A run that is present. */
    private static final class Run {
        final String task;
        final long number;
        final long cpu;
        final long millis;
        final long startedAt = now();
        long stopAt = Long.MAX_VALUE;

        Run(String task, long number, long cpu, long millis) {
            this.task = task;
            this.number = number;
            this.cpu = cpu;
            this.millis = millis;
        }

        String end(long now, long leaseUntil) {
            if (stopAt <= now) {
                return "stopped";
            }
            if (startedAt + millis <= now) {
                return "done";
            }
            return leaseUntil <= now ? "lapsed" : null;
        }
    }

    final String id;
    private final Record record;
    private final String service;
    private final String zone;
    private final int agentPort;
    private final int appPort;
    private final int advertisedPort;
    private final long heartbeatMillis;
    private Http.Server server;
    private volatile boolean up;
    private volatile long life;
    private long cpu;
    private List<String> labels;
    private long bornUnixMillis;
    private long bornAt;
    private long sequence;
    private long token;
    private long leaseUntil;
    private String state;
    private Map<String, Run> running;
    private Map<String, Long> highest;
    private List<List<Object>> finished;
    private long lastEnd;
    private long orders;
    private long unanswered;

    /** The worker listens on the app port and reports the advertised one, which differs from it if a link relays. */
    Worker(
            Record record,
            String id,
            String service,
            String zone,
            int agentPort,
            int appPort,
            int advertisedPort,
            long heartbeatMillis) {
        this.record = record;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.agentPort = agentPort;
        this.appPort = appPort;
        this.advertisedPort = advertisedPort;
        this.heartbeatMillis = heartbeatMillis;
        Threads.start(() -> {
            while (true) {
                Thread.sleep(2);
                settle();
            }
        });
    }

    /** While this is set, orders (starts and stops) are not answered, and are carried out late; lists are answered. */
    volatile boolean ordersAreLate;

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    // -- lives

    /** Starts a life, which reports itself at once and then at each interval. */
    synchronized void start(long withCpu, List<String> withLabels) throws IOException {
        life++;
        cpu = withCpu;
        labels = withLabels;
        bornUnixMillis = System.currentTimeMillis();
        bornAt = now();
        sequence = 0;
        token = 0;
        leaseUntil = 0;
        state = "ready";
        running = new LinkedHashMap<>();
        highest = new HashMap<>();
        finished = new ArrayList<>();
        lastEnd = 0;
        long ofLife = life;
        server = new Http.Server(appPort, request -> handle(ofLife, request));
        up = true;
        record.add("worker-started", "worker", id, "born", bornUnixMillis, "cpu", cpu, "labels", labels);
        Threads.start(() -> {
            long due = now();
            while (up && life == ofLife) {
                Threads.start(() -> heartbeat(ofLife));
                due += heartbeatMillis;
                Thread.sleep(Math.max(0, due - now()));
            }
        });
    }

    synchronized void crash() throws IOException {
        up = false;
        server.close();
        running.values().forEach(run -> record.add("run-ended", "task", run.task, "run", run.number, "how", "crash"));
        running.clear();
        record.add("worker-crashed", "worker", id);
        notifyAll();
    }

    private Map<String, Object> report() {
        return Json.map(
                "service", service,
                "address", "127.0.0.1:" + advertisedPort,
                "zone", zone,
                "version", "v1",
                "slots", 8,
                "state", state,
                "cold_ms", 0,
                "capacity", Json.map("cpu", cpu, "mem_mb", 65_536, "gpu", 0),
                "labels", labels,
                "clock_ms", clock(),
                "sequence", sequence,
                "born", bornUnixMillis);
    }

    private void heartbeat(long ofLife) {
        String body;
        long number;
        synchronized (this) {
            if (!up || life != ofLife) {
                return;
            }
            sequence++;
            number = sequence;
            body = Json.write(report());
        }
        String answer = put(id, body);
        record.add("heartbeat", "worker", id, "born", bornUnixMillis, "sequence", number, "cpu", cpu, "answer", answer);
    }

    /** Sends a heartbeat, and returns the status or the failure. */
    String put(String withId, String body) {
        try (Http.Connection connection = new Http.Connection(agentPort, CALL_TIMEOUT_MILLIS)) {
            connection.send("PUT", "/workers/" + withId, Map.of("Host", "agent"), body);
            return String.valueOf(connection.receive(CALL_TIMEOUT_MILLIS).status());
        } catch (IOException e) {
            return "none";
        }
    }

    /** Returns a report as this life sends it, with some fields replaced. */
    synchronized String reportWith(Object... fields) {
        Map<String, Object> report = report();
        report.putAll(Json.map(fields));
        return Json.write(report);
    }

    // -- runs

    private long clock() {
        return 100_000 + now() - bornAt;
    }

    private synchronized void settle() {
        if (!up) {
            return;
        }
        boolean any = false;
        for (Iterator<Run> i = running.values().iterator(); i.hasNext(); ) {
            Run run = i.next();
            String how = run.end(now(), leaseUntil + bornAt - 100_000);
            if (how != null) {
                i.remove();
                lastEnd++;
                finished.add(List.of(lastEnd, run.task, run.number, how, ""));
                highest.merge(run.task, run.number, Math::max);
                record.add("run-ended", "task", run.task, "run", run.number, "how", how);
                any = true;
            }
        }
        if (any) {
            notifyAll();
        }
    }

    private Http.Reply handle(long ofLife, Http.Message request) throws InterruptedException {
        if (ordersAreLate && !request.target().equals("/hold")) {
            synchronized (this) {
                unanswered++;
            }
            record.add("order-unanswered", "worker", id, "call", request.target(), "body", request.body());
            Threads.start(() -> {
                Thread.sleep(LATE_MILLIS);
                Http.Reply reply = carryOut(ofLife, request);
                record.add("order-carried-out-late", "worker", id, "call", request.target(), "reply", reply);
            });
            // The caller gives up long before that.
            Thread.sleep(LATE_MILLIS);
            return null;
        }
        synchronized (this) {
            orders += request.target().equals("/hold") ? 0 : 1;
        }
        return carryOut(ofLife, request);
    }

    private Http.Reply carryOut(long ofLife, Http.Message request) throws InterruptedException {
        String expected = request.headers().get("teaselhook-expect-instance");
        Map<String, Object> call = Json.object(request.body());
        synchronized (this) {
            if (!up || life != ofLife) {
                return null;
            }
            if (expected != null && !expected.equals(id)) {
                return new Http.Reply(421, Json.write(Json.map("clock_ms", clock())));
            }
            if (Json.number(call, "fencing_token") < token) {
                return refused("fence");
            }
            token = Json.number(call, "fencing_token");
            return switch (request.target()) {
                case "/run-start" -> start(call);
                case "/run-stop" -> stop(call);
                case "/hold" -> hold(ofLife, call);
                default -> new Http.Reply(404, "{}");
            };
        }
    }

    private Http.Reply refused(String reason) {
        return new Http.Reply(409, Json.write(Json.map("clock_ms", clock(), "reason", reason)));
    }

    private Http.Reply done() {
        return new Http.Reply(200, Json.write(Json.map("clock_ms", clock())));
    }

    private void extend(Map<String, Object> call) {
        leaseUntil = Math.max(leaseUntil, Math.min(Json.number(call, "deadline_ms"), clock() + MAX_HOLD_MILLIS));
    }

    static long field(String spec, String name) {
        for (String pair : spec.split(" ")) {
            if (pair.startsWith(name + "=")) {
                return Long.parseLong(pair.substring(name.length() + 1));
            }
        }
        return 0;
    }

    static Optional<String> text(String spec, String name) {
        for (String pair : spec.split(" ")) {
            if (pair.startsWith(name + "=")) {
                return Optional.of(pair.substring(name.length() + 1));
            }
        }
        return Optional.empty();
    }

    private Http.Reply start(Map<String, Object> call) {
        String task = (String) call.get("task");
        long number = Json.number(call, "run");
        String spec = (String) call.get("spec");
        if (Json.number(call, "deadline_ms") <= clock()) {
            return refused("late");
        }
        extend(call);
        Run present = running.get(task);
        if (present != null && present.number == number) {
            return done();
        }
        if (present != null || number <= highest.getOrDefault(task, 0L)) {
            return refused("old");
        }
        Run run = new Run(task, number, field(spec, "cpu"), field(spec, "ms"));
        running.put(task, run);
        long used = running.values().stream().mapToLong(each -> each.cpu).sum();
        record.add("run-started", "worker", id, "task", task, "run", number, "used", used, "cpu", cpu, "spec", spec);
        if (used > cpu) {
            record.violation("LIMIT", "worker", id, "born", bornUnixMillis, "task", task, "used", used, "cpu", cpu);
        }
        text(spec, "label").filter(label -> !labels.contains(label)).ifPresent(label ->
                record.violation("ROUTE", "worker", id, "born", bornUnixMillis, "task", task, "label", label));
        return done();
    }

    private Http.Reply stop(Map<String, Object> call) {
        String task = (String) call.get("task");
        long number = Json.number(call, "run");
        Run present = running.get(task);
        if (present == null) {
            highest.merge(task, number, Math::max);
        } else if (present.number == number) {
            present.stopAt = Math.min(present.stopAt, now() + STOP_MILLIS);
        }
        return done();
    }

    private Http.Reply hold(long ofLife, Map<String, Object> call) throws InterruptedException {
        long acknowledged = Json.number(call, "ack_cursor");
        finished.removeIf(row -> (long) row.get(0) <= acknowledged);
        if (call.containsKey("deadline_ms")) {
            extend(call);
        }
        long until = now() + Math.min(2_000, Json.number(call, "wait_ms"));
        while (finished.isEmpty() && until - now() > 0 && up && life == ofLife) {
            wait(Math.max(1, until - now()));
        }
        if (!up || life != ofLife) {
            return null;
        }
        List<Object> rows = new ArrayList<>();
        running.values().forEach(run -> rows.add(List.of(
                run.task,
                run.number,
                "",
                Math.min(99, 100 * (now() - run.startedAt) / Math.max(1, run.millis)),
                run.cpu)));
        return new Http.Reply(
                200,
                Json.write(Json.map(
                        "clock_ms",
                        clock(),
                        "born",
                        bornUnixMillis,
                        "running",
                        rows,
                        "finished",
                        finished.subList(0, Math.min(500, finished.size())))));
    }

    /** The number of starts and stops that it has not answered. */
    synchronized long unanswered() {
        return unanswered;
    }

    /** The number of starts and stops that it has answered. */
    synchronized long orders() {
        return orders;
    }

    /** Whether a task is present. */
    synchronized boolean runs(String taskPrefix) {
        return up && running.keySet().stream().anyMatch(task -> task.startsWith(taskPrefix));
    }

    @Override
    public synchronized void close() throws IOException {
        up = false;
        if (server != null) {
            server.close();
        }
    }
}
