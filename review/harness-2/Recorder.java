import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: a line for each thing that was sent, answered, run or done, with its time in seconds. */
final class Recorder implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String kind, String text) {
        out.println(String.format(Locale.ROOT, "%8.3f %-9s %s", seconds(), kind, text));
    }

    /** Writes a line that is also printed. */
    void note(String text) {
        line("note", text);
        System.out.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
