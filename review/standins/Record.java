package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;

/** Writes one line for each event of a case to its record, with the seconds since the start. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(file.toFile());
  }

  /** Returns the seconds since the start of the case. */
  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void line(String text) {
    out.printf(Locale.ROOT, "%8.3f s  %s%n", seconds(), text);
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
