package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the seconds since its start. */
final class Record {

    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) {
        try {
            this.out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void line(String format, Object... arguments) {
        String text = String.format(Locale.ROOT, "%8.3f  ", seconds()) + String.format(Locale.ROOT, format, arguments);
        out.println(text);
        System.out.println(text);
    }
}
