package org.teaselhook.bench.agentcost;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.teaselhook.node.settings.SocketAddresses;

/** An agent started by {@code bin/teaselhook} with the options of {@code bin/agent.jvm}. */
final class AgentProcess implements AutoCloseable {

    private static final Pattern USED = Pattern.compile("total \\d+K, used (\\d+)K");
    private static final long EXIT_WAIT_SECONDS = 10;
    private static final long KIBIBYTE = 1_024;

    private final Process process;

    private AgentProcess(Process process) {
        this.process = process;
    }

    static AgentProcess start(Path directory, InetSocketAddress http, List<InetSocketAddress> entries)
            throws IOException {
        String addresses = entries.stream().map(SocketAddresses::format).collect(Collectors.joining(", "));
        Path settings = directory.resolve("agent.yaml");
        Files.writeString(
                settings,
                """
                name: agent-1
                zone: ernakulam
                rack: rack-1
                http: %s
                entries: [%s]
                """
                        .formatted(SocketAddresses.format(http), addresses));
        ProcessBuilder builder = new ProcessBuilder("bin/teaselhook", "agent", "--settings", settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve("agent.log").toFile());
        builder.environment().put("TEASELHOOK_JAVA_OPTS", "@bin/agent.jvm");
        builder.environment().put("MALLOC_ARENA_MAX", "1");
        return new AgentProcess(builder.start());
    }

    long pid() {
        return process.pid();
    }

    /** Collects garbage and returns the heap in use, as {@code jcmd} says. */
    long liveHeapBytes() throws IOException, InterruptedException {
        jcmd("GC.run");
        Matcher used = USED.matcher(jcmd("GC.heap_info"));
        long kibibytes = 0;
        while (used.find()) {
            kibibytes += Long.parseLong(used.group(1));
        }
        return KIBIBYTE * kibibytes;
    }

    private String jcmd(String command) throws IOException, InterruptedException {
        String path = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        Process jcmd = new ProcessBuilder(path, Long.toString(pid()), command).start();
        String output = new String(jcmd.getInputStream().readAllBytes());
        jcmd.waitFor(EXIT_WAIT_SECONDS, TimeUnit.SECONDS);
        return output;
    }

    @Override
    public void close() {
        process.destroy();
        try {
            process.waitFor(EXIT_WAIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        process.destroyForcibly();
    }
}
