import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/** The record of what was sent, answered and run, one line each, and of the rules that were broken. */
final class Record implements AutoCloseable {

    private final PrintWriter out;
    private final long startedAt = System.nanoTime();
    private final Map<String, Integer> violations = new TreeMap<>();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void add(String event, Object... pairs) {
        StringBuilder line = new StringBuilder().append(millis()).append(' ').append(event);
        for (int i = 0; i < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=').append(pairs[i + 1]);
        }
        out.println(line);
    }

    synchronized void violation(String rule, Object... pairs) {
        violations.merge(rule, 1, Integer::sum);
        add("BROKEN-" + rule, pairs);
    }

    synchronized Map<String, Integer> violations() {
        return new TreeMap<>(violations);
    }

    @Override
    public synchronized void close() {
        add("end", "violations", violations);
        out.close();
    }
}
