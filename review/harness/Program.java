package review;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A program of the project, started with the command of the deploy file as a process of its own. */
final class Program implements AutoCloseable {

    private final String name;
    private final String role;
    private final Path settings;
    private final File log;
    private Process process;

    Program(String name, String role, Map<String, Object> values, Path folder) {
        this.name = name;
        this.role = role;
        this.settings = folder.resolve(name + ".yaml");
        this.log = folder.resolve(name + ".log").toFile();
        List<String> lines = new ArrayList<>();
        values.forEach((key, value) -> lines.add(key + ": " + Json.write(value)));
        try {
            Files.write(settings, lines);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        start();
    }

    static Program entry(String name, String zone, int callers, int ready, int agents, int table, Path folder) {
        return new Program(name, "job-entry", Json.map("name", name, "zone", zone, "callers", local(callers), "ready",
                local(ready), "agents", local(agents), "table", local(table)), folder);
    }

    static Program agent(String name, String zone, int registrations, int table, int metrics, Path folder) {
        return new Program(name, "lease-agent", Json.map("name", name, "zone", zone, "registrations",
                local(registrations), "table", local(table), "entries", List.of(), "entries-port", 0, "metrics",
                local(metrics)), folder);
    }

    private static String local(int port) {
        return "127.0.0.1:" + port;
    }

    private void start() {
        String options = role.equals("job-entry") ? "@deploy/entry.jvm" : "@deploy/agent.jvm";
        ProcessBuilder builder = new ProcessBuilder(
                "java", options, "-jar", "target/teaselhook/teaselhook.jar", role, "--settings", settings.toString());
        builder.environment().put("TEASELHOOK_CONFIG", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        try {
            process = builder.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    String name() {
        return name;
    }

    /** Sends a signal to this process, such as STOP or CONT. */
    void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the processor time that the process has used, in seconds. */
    double cpuSeconds() {
        try {
            String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / 100.0;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
