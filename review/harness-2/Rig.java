import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** A small deployment: the store, and entries and agents as processes with the commands of the deploy file. */
final class Rig implements AutoCloseable {

    static final String HOST = "nony24.example";
    static final String PREFIX = "/lohu930/";
    static final String SERVICE = "storefront";

    private static final Random PORTS = new Random();
    private static final Set<Integer> DRAWN = new HashSet<>();

    final Store store = new Store();
    final Record record;
    private final Path directory = Files.createTempDirectory("teaselhook-review");
    private final List<Program> programs = new ArrayList<>();
    private final Random random = new Random();
    private boolean failed;

    Rig(Record record) throws IOException {
        this.record = record;
        store.operator("config", config(7));
    }

    private static String config(long version) {
        return """
                {"version":%d,"routes":[%s],\
                "services":[{"name":"%s","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,\
                "cold_start_s":0.0,"cold_per_s":0.0,"preconditions":false,"standby":false}],\
                "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,\
                "idle_timeout_ms":15000}}"""
                .formatted(version, route("r-1", PREFIX), SERVICE);
    }

    private static String route(String name, String prefix) {
        return """
                {"name":"%s","host":"%s","path_prefix":"%s","type":"non_idempotent","timeout_ms":1500,\
                "target_latency_ms":60,"priority":0,"service":"%s","max_attempts":4,"stretch":1.6}"""
                .formatted(name, HOST, prefix, SERVICE);
    }

    /** Draws a free port below those that the system gives to outgoing connections, each one once. */
    static synchronized int freePort() throws IOException {
        while (true) {
            int port = 15_000 + PORTS.nextInt(15_000);
            if (DRAWN.add(port)) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                    return socket.getLocalPort();
                } catch (IOException e) {
                    // Another process has it.
                }
            }
        }
    }

    synchronized String newId() {
        return String.format("%016x", random.nextLong());
    }

    /** One program of the deploy file on one machine. */
    final class Program {

        final String name;
        private final String role;
        private final String options;
        private final Path settings;
        private Process process;

        private Program(String name, String role, String options, String text) throws IOException {
            this.name = name;
            this.role = role;
            this.options = options;
            this.settings = Files.writeString(directory.resolve(name + ".yaml"), text);
        }

        void start() throws IOException {
            process = new ProcessBuilder(
                            "java", "@deploy/" + options, "-jar", "target/teaselhook/teaselhook.jar", role,
                            "--settings", settings.toString())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(
                            directory.resolve(name + ".log").toFile()))
                    .start();
            record.add("process-started", "name", name);
        }

        void signal(String signal) throws Exception {
            record.add("signal", "name", name, "signal", signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        void kill() throws Exception {
            record.add("process-killed", "name", name);
            process.destroyForcibly().waitFor();
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        String log() throws IOException {
            return Files.readString(directory.resolve(name + ".log"));
        }

        private void end() throws InterruptedException {
            if (process != null) {
                process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
            }
        }
    }

    /** An entry, with its ports. */
    record Entry(Program program, int callers, int ready, int agents) {

        boolean isReady() {
            try (Http.Connection connection = new Http.Connection(ready, 500)) {
                connection.send("GET", "/ready", Map.of("Host", "entry"), "");
                return connection.receive(1_000).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }
    }

    /** An agent, with the port that its worker reports to. */
    record Agent(Program program, int registrations) {}

    Entry entry(String name, String zone) throws IOException {
        int callers = freePort();
        int ready = freePort();
        int agents = freePort();
        String text = """
                name: "%s"
                zone: "%s"
                callers: "127.0.0.1:%d"
                ready: "127.0.0.1:%d"
                agents: "127.0.0.1:%d"
                table: "127.0.0.1:%d"
                metrics: "127.0.0.1:%d"
                """
                .formatted(name, zone, callers, ready, agents, store.port(), freePort());
        Program program = new Program(name, "job-entry", "entry.jvm", text);
        programs.add(program);
        return new Entry(program, callers, ready, agents);
    }

    Agent agent(String name, String zone, List<Entry> entries) throws IOException {
        int registrations = freePort();
        String seeds = String.join(
                ",",
                entries.stream().map(entry -> "\"127.0.0.1:" + entry.agents() + "\"").toList());
        String text = """
                name: "%s"
                zone: "%s"
                registrations: "127.0.0.1:%d"
                table: "127.0.0.1:%d"
                entries: [%s]
                metrics: "127.0.0.1:%d"
                """
                .formatted(name, zone, registrations, store.port(), seeds, freePort());
        Program program = new Program(name, "lease-agent", "agent.jvm", text);
        programs.add(program);
        return new Agent(program, registrations);
    }

    /** Waits until all entries are ready. */
    void awaitReady(List<Entry> entries, long millis) throws Exception {
        long until = record.millis() + millis;
        while (!entries.stream().allMatch(Entry::isReady)) {
            if (record.millis() > until) {
                failed = true;
                throw new IllegalStateException("the entries are not ready, see " + directory);
            }
            Thread.sleep(100);
        }
    }

    static String job(String spec, int count, long cpu, long millis, String extra) {
        return "{\"best_effort\":true,\"spec\":\"" + spec + "\",\"steps\":[{\"count\":" + count + ",\"cpu\":" + cpu
                + ",\"mem_mb\":64,\"estimate_ms\":" + millis + extra + "}]}";
    }

    /** Sends a call of a client on a new connection, and records what came of it; the status is 0 for no answer. */
    int call(Entry entry, String method, String id, String body, long timeoutMillis) {
        record.add("call", "method", method, "entry", entry.program().name, "job", id);
        int status = 0;
        String answer = "";
        try (Http.Connection connection = new Http.Connection(entry.callers(), 1_000)) {
            Map<String, String> headers =
                    Map.of("Host", HOST, "Teaselhook-Timeout-Ms", Long.toString(timeoutMillis));
            connection.send(method, PREFIX + id, headers, body);
            Http.Message reply = connection.receive((int) timeoutMillis);
            status = reply.status();
            answer = reply.body();
        } catch (IOException e) {
            answer = e.toString();
        }
        record.add("answer", "method", method, "entry", entry.program().name, "job", id, "status", status, "body", answer);
        return status;
    }

    @Override
    public void close() throws Exception {
        for (Program program : programs) {
            program.end();
        }
        store.close();
        if (System.getenv("KEEP") == null && !failed) {
            try (var files = Files.walk(directory)) {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
            }
        } else {
            System.out.println("logs: " + directory);
        }
    }
}
