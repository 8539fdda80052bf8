package org.teaselhook.bench.agentcost;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A daemon process, started through {@code bin/teaselhook} with the JVM options of its role. */
final class DaemonProcess implements AutoCloseable {

    private static final Pattern USED_HEAP = Pattern.compile("total \\d+K, used (\\d+)K");
    private static final long EXIT_TIMEOUT_SECONDS = 10;
    private static final long KIBIBYTE = 1_024;

    private final Process process;

    private DaemonProcess(Process process) {
        this.process = process;
    }

    /** Starts a daemon with the given settings, as YAML text. */
    static DaemonProcess start(String role, String settings, Path directory) throws IOException {
        Path file = Files.writeString(directory.resolve(role + "-measured.yaml"), settings);
        ProcessBuilder builder = new ProcessBuilder("bin/teaselhook", role, "--settings", file.toString())
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve(role + "-measured.log").toFile());
        builder.environment().remove("TEASELHOOK_JAVA_OPTS");
        return new DaemonProcess(builder.start());
    }

    long pid() {
        return process.pid();
    }

    /** Runs a garbage collection and returns the used heap in bytes, as reported by {@code jcmd}. */
    long liveHeapBytes() throws IOException, InterruptedException {
        jcmd("GC.run");
        Matcher matcher = USED_HEAP.matcher(jcmd("GC.heap_info"));
        long kibibytes = 0;
        while (matcher.find()) {
            kibibytes += Long.parseLong(matcher.group(1));
        }
        return KIBIBYTE * kibibytes;
    }

    private String jcmd(String command) throws IOException, InterruptedException {
        String path = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        Process jcmd = new ProcessBuilder(path, Long.toString(pid()), command).start();
        String output = new String(jcmd.getInputStream().readAllBytes());
        jcmd.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return output;
    }

    @Override
    public void close() {
        process.destroy();
        try {
            process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        process.destroyForcibly();
    }
}
