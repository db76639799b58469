package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line an event, with the seconds since the start. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter writer;

  Record(Path file) throws IOException {
    writer = new PrintWriter(Files.newBufferedWriter(file));
  }

  synchronized void line(String format, Object... arguments) {
    String text = String.format(Locale.ROOT, format, arguments);
    writer.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
    writer.flush();
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  @Override
  public void close() {
    writer.close();
  }
}
