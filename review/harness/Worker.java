package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in for a sound worker beside an agent: runs tasks under a lease on its own clock, keeps the highest fencing
 * token and the highest run that ended or was stopped of each task, and reports itself every 1.5 s. A task works for the
 * time that its spec names, as in {@code work_ms=900}.
 */
final class Worker implements AutoCloseable {

    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final long MAX_HOLD_MILLIS = 1_000;
    private static final long STOP_MILLIS = 30;

    /** One run as the worker saw it, in seconds of the record; {@code endedAt} is infinite while it runs. */
    static final class Run {
        final String worker;
        final String task;
        final int number;
        final double startedAt;
        final long startedNanos = System.nanoTime();
        final long workMillis;
        volatile double endedAt = Double.POSITIVE_INFINITY;
        volatile String how = "running";
        boolean stopping;

        Run(String worker, String task, int number, double startedAt, long workMillis) {
            this.worker = worker;
            this.task = task;
            this.number = number;
            this.startedAt = startedAt;
            this.workMillis = workMillis;
        }
    }

    final String id;
    private final String service;
    private final String zone;
    private final int registrationPort;
    private final Record record;
    private final List<Run> allRuns;
    private final int port = Web.freePort();
    private final long born = System.currentTimeMillis();
    private final long startedAt = System.nanoTime();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> highestEnded = new HashMap<>();
    private final List<List<Object>> finished = new ArrayList<>();
    private final HttpServer server;
    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, body -> {
        Thread thread = new Thread(body);
        thread.setDaemon(true);
        return thread;
    });
    private long token;
    private long leaseUntil;
    private long lastNumber;
    private long sequence;
    private boolean gone;
    private volatile boolean draining;

    Worker(String id, String service, String zone, int registrationPort, Record record, List<Run> allRuns) {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.registrationPort = registrationPort;
        this.record = record;
        this.allRuns = allRuns;
        this.server = Web.serve(port, this::handle);
        timer.scheduleAtFixedRate(this::expire, 5, 5, TimeUnit.MILLISECONDS);
        timer.scheduleAtFixedRate(this::heartbeat, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private long clock() {
        return 1_000 + (System.nanoTime() - startedAt) / 1_000_000;
    }

    // -- reports

    Map<String, Object> report(String state) {
        return Json.map(
                "service", service, "address", "127.0.0.1:" + port, "zone", zone, "version", "v1", "slots", 8, "state",
                state, "cold_ms", 0, "capacity", Json.map("cpu", 16000, "mem_mb", 65536, "gpu", 0), "labels",
                List.of("a", "r1-1"), "clock_ms", clock(), "sequence", ++sequence, "born", born);
    }

    private void heartbeat() {
        Map<String, Object> report;
        synchronized (this) {
            if (gone) {
                return;
            }
            report = report(draining ? "draining" : "ready");
        }
        call("PUT", id, Json.write(report));
    }

    /** Sends a call to the agent's address for reports, and returns the status; 0 if there was no answer. */
    int call(String method, String name, String body) {
        try {
            HttpRequest request = HttpRequest.newBuilder(
                            URI.create("http://127.0.0.1:" + registrationPort + "/workers/" + name))
                    .timeout(Duration.ofSeconds(1))
                    .header("Content-Type", "application/json")
                    .method(method, HttpRequest.BodyPublishers.ofString(body))
                    .build();
            return http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Says that it drains, with a heartbeat at once and with each later one. */
    void drain() {
        draining = true;
        heartbeat();
    }

    /** Stops serving, then sends its notice to the agent and ends. */
    int leave() {
        end();
        return call("DELETE", id, "");
    }

    void end() {
        synchronized (this) {
            gone = true;
            new ArrayList<>(running.values()).forEach(run -> finish(run, "gone"));
        }
        server.stop(0);
    }

    // -- runs

    private synchronized void expire() {
        long now = System.nanoTime();
        for (Run run : new ArrayList<>(running.values())) {
            if (clock() > leaseUntil) {
                finish(run, "lapsed");
            } else if (now - run.startedNanos >= run.workMillis * 1_000_000) {
                finish(run, "done");
            }
        }
    }

    private void finish(Run run, String how) {
        if (running.remove(run.task, run)) {
            run.endedAt = record.seconds();
            run.how = how;
            highestEnded.merge(run.task, run.number, Math::max);
            lastNumber++;
            finished.add(List.of(lastNumber, run.task, run.number, how, ""));
            record.line("%s ran %s run %d: ended %s", id, run.task, run.number, how);
            notifyAll();
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        Map<String, Object> call = Json.object(Web.body(exchange));
        String expected = exchange.getRequestHeaders().getFirst("Teaselhook-Expect-Instance");
        String path = exchange.getRequestURI().getPath();
        if (expected != null && !expected.equals(id)) {
            Web.reply(exchange, 421, Json.map("clock_ms", clock()));
            return;
        }
        synchronized (this) {
            if (Json.number(call, "fencing_token", 0) < token) {
                refuse(exchange, "fence");
                return;
            }
            token = Json.number(call, "fencing_token", 0);
        }
        switch (path) {
            case "/run-start" -> start(exchange, call);
            case "/run-stop" -> stop(exchange, call);
            case "/hold" -> hold(exchange, call);
            default -> Web.reply(exchange, 404, Json.map("clock_ms", clock()));
        }
    }

    private void refuse(HttpExchange exchange, String reason) throws IOException {
        Web.reply(exchange, 409, Json.map("clock_ms", clock(), "reason", reason));
    }

    private void extendLease(Map<String, Object> call) {
        long wanted = Json.number(call, "deadline_ms", 0);
        leaseUntil = Math.max(leaseUntil, Math.min(wanted, clock() + MAX_HOLD_MILLIS));
    }

    private void start(HttpExchange exchange, Map<String, Object> call) throws IOException {
        String task = (String) call.get("task");
        int number = (int) Json.number(call, "run", 0);
        String reason = null;
        synchronized (this) {
            Run present = running.get(task);
            if (Json.number(call, "deadline_ms", 0) <= clock()) {
                reason = "late";
            } else if (present != null && present.number == number) {
                extendLease(call);
            } else if (number <= highestEnded.getOrDefault(task, 0) || present != null) {
                extendLease(call);
                reason = "old";
            } else {
                extendLease(call);
                String spec = (String) call.get("spec");
                long workMillis = Long.parseLong(spec.substring(spec.indexOf('=') + 1));
                Run run = new Run(id, task, number, record.seconds(), workMillis);
                running.put(task, run);
                allRuns.add(run);
                record.line("%s starts %s run %d (%d ms of work)", id, task, number, workMillis);
            }
        }
        if (reason == null) {
            Web.reply(exchange, 200, Json.map("clock_ms", clock()));
        } else {
            refuse(exchange, reason);
        }
    }

    private void stop(HttpExchange exchange, Map<String, Object> call) throws IOException {
        String task = (String) call.get("task");
        int number = (int) Json.number(call, "run", 0);
        synchronized (this) {
            Run run = running.get(task);
            record.line("%s is told to stop %s run %d", id, task, number);
            if (run != null && run.number == number && !run.stopping) {
                run.stopping = true;
                timer.schedule(() -> finishLater(run), STOP_MILLIS, TimeUnit.MILLISECONDS);
            } else if (run == null) {
                highestEnded.merge(task, number, Math::max);
            }
        }
        Web.reply(exchange, 200, Json.map("clock_ms", clock()));
    }

    private synchronized void finishLater(Run run) {
        finish(run, "stopped");
    }

    private void hold(HttpExchange exchange, Map<String, Object> call) throws IOException {
        Map<String, Object> answer;
        synchronized (this) {
            long acknowledged = Json.number(call, "ack_cursor", 0);
            finished.removeIf(end -> (Long) end.get(0) <= acknowledged);
            if (call.containsKey("deadline_ms")) {
                extendLease(call);
            }
            long until = System.nanoTime() + Json.number(call, "wait_ms", 0) * 1_000_000;
            while (finished.isEmpty() && until - System.nanoTime() > 1_000_000) {
                try {
                    wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
            List<Object> rows = new ArrayList<>();
            for (Run run : running.values()) {
                long percent = (System.nanoTime() - run.startedNanos) / 10_000 / Math.max(1, run.workMillis);
                rows.add(List.of(run.task, run.number, "", Math.min(99, percent), 1600));
            }
            answer = Json.map(
                    "clock_ms", clock(), "running", rows, "finished", List.copyOf(finished), "born", born);
        }
        Web.reply(exchange, 200, answer);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
        server.stop(0);
    }
}
