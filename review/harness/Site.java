package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/** A small site: the store, entries, and agents with a worker each, all on loopback; and a client of it. */
final class Site implements AutoCloseable {

    static final String HOST = "nony24.example";
    static final String PREFIX = "/lohu930/";
    static final String SERVICE = "patchdesk";

    final Record record;
    final Store store = new Store();
    final List<Program> entries = new ArrayList<>();
    final List<Program> agents = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    final List<Worker.Run> runs = new CopyOnWriteArrayList<>();
    private final List<Integer> callerPorts = new ArrayList<>();
    private final List<Integer> readyPorts = new ArrayList<>();
    final List<Integer> registrationPorts = new ArrayList<>();
    private final Path folder;
    private final Thread cleaner = new Thread(this::endProcesses);

    /** An answer to a client; status 0 if there was none. */
    record Answer(int status, String body) {}

    Site(Record record, int entryCount, int agentCount) {
        this.record = record;
        Runtime.getRuntime().addShutdownHook(cleaner);
        try {
            folder = Files.createTempDirectory("teaselhook-review");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Map<String, Object> route = Json.map("name", "r-1", "host", HOST, "path_prefix", PREFIX, "type",
                "non_idempotent", "timeout_ms", 1500, "target_latency_ms", 60, "priority", 0, "service", SERVICE,
                "max_attempts", 3, "stretch", 1.6);
        Map<String, Object> service = Json.map("name", SERVICE, "health_path", "/health", "max_conns", 64, "protocol",
                "h1", "tls", false, "cold_start_s", 0.0, "cold_per_s", 0.0, "preconditions", false, "standby", false);
        Map<String, Object> limits = Json.map("max_header_bytes", 16384, "max_body_bytes", 262144, "header_timeout_ms",
                3000, "idle_timeout_ms", 15000);
        store.operatorPut("config",
                Json.map("version", 7, "routes", List.of(route), "services", List.of(service), "limits", limits));
        for (int i = 0; i < entryCount; i++) {
            addEntry("edge-z" + (i + 1) + "-1", "z" + (i + 1));
        }
        for (int i = 0; i < agentCount; i++) {
            String zone = "z" + (i % entryCount + 1);
            registrationPorts.add(Web.freePort());
            agents.add(Program.agent("side-" + zone + "-" + (i + 1), zone, registrationPorts.get(i), store.port(),
                    Web.freePort(), folder));
            workers.add(new Worker("i-" + (i + 1), SERVICE, zone, registrationPorts.get(i), record, runs));
        }
    }

    void addEntry(String name, String zone) {
        callerPorts.add(Web.freePort());
        readyPorts.add(Web.freePort());
        entries.add(Program.entry(name, zone, callerPorts.get(callerPorts.size() - 1),
                readyPorts.get(readyPorts.size() - 1), Web.freePort(), store.port(), folder));
    }

    /** Waits until every entry is ready and every worker has run a task; fails after 40 s. */
    void awaitServing() {
        long until = System.nanoTime() + 40_000_000_000L;
        int job = 0;
        while (System.nanoTime() < until) {
            boolean ready = true;
            for (int entry = 0; entry < entries.size(); entry++) {
                // Entries that have sent no orders hear of what others use by heartbeats, five a second.
                Worker.sleep(500);
                String id = String.format("%016x", 0xaa00 + job++);
                ready &= ready(entry) && submit(entry, id, 200, 200, 10 * workers.size() - 5, 4_000).status() == 200;
            }
            long used = runs.stream().map(run -> run.worker).distinct().count();
            if (ready && used == workers.size()) {
                return;
            }
        }
        throw new IllegalStateException("the site does not serve jobs within 40 s");
    }

    boolean ready(int entry) {
        try {
            return request(readyPorts.get(entry), "GET", "/ready", "", 1_000).status() == 200;
        } catch (UncheckedIOException e) {
            return false;
        }
    }

    /** Submits a job of one step that need not be stored, and waits for its answer. */
    Answer submit(int entry, String id, long workMillis, long estimateMillis, int tasks, int timeoutMillis) {
        String body = Json.write(Json.map("spec", "work_ms=" + workMillis, "best_effort", true, "steps",
                List.of(Json.map("count", tasks, "cpu", 1600, "mem_mb", 64, "estimate_ms", estimateMillis))));
        record.line("client sends job %s (%d x %d ms, estimate %d ms) to %s, waits %d ms", id, tasks, workMillis,
                estimateMillis, entries.get(entry).name(), timeoutMillis);
        Answer answer = request(callerPorts.get(entry), "POST", PREFIX + id, body, timeoutMillis);
        record.line("client gets %s for job %s", answer.status() == 0 ? "no answer" : answer.status() + " " + answer.body(),
                id);
        return answer;
    }

    Answer cancel(int entry, String id) {
        record.line("client sends DELETE of job %s to %s", id, entries.get(entry).name());
        Answer answer = request(callerPorts.get(entry), "DELETE", PREFIX + id, "", 4_000);
        record.line("client gets %d for the DELETE of job %s", answer.status(), id);
        return answer;
    }

    private static Answer request(int port, String method, String path, String body, int timeoutMillis) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nContent-Type: application/json\r\n"
                + "Teaselhook-Timeout-Ms: " + timeoutMillis + "\r\nContent-Length: " + bytes.length
                + "\r\nConnection: close\r\n\r\n";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            in.transferTo(all);
            String text = all.toString(StandardCharsets.UTF_8);
            int end = text.indexOf("\r\n\r\n");
            return end < 0
                    ? new Answer(0, "")
                    : new Answer(Integer.parseInt(text.split(" ")[1]), text.substring(end + 4));
        } catch (SocketTimeoutException e) {
            return new Answer(0, "");
        } catch (IOException e) {
            return new Answer(0, "");
        }
    }

    /** Returns pairs of runs of one task that were at work at the same time on workers that are up. */
    List<Worker.Run[]> overlaps() {
        List<Worker.Run[]> result = new ArrayList<>();
        for (Worker.Run one : runs) {
            for (Worker.Run other : runs) {
                boolean later = other.startedAt > one.startedAt || other.startedAt == one.startedAt && other != one;
                if (later && one.task.equals(other.task) && other.startedAt < one.endedAt) {
                    result.add(new Worker.Run[] {one, other});
                }
            }
        }
        return result;
    }

    private void endProcesses() {
        Stream.concat(entries.stream(), agents.stream()).forEach(Program::close);
    }

    @Override
    public void close() {
        endProcesses();
        workers.forEach(Worker::close);
        store.close();
        if (!"1".equals(System.getenv("KEEP_LOGS"))) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
