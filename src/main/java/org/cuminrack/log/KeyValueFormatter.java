package org.cuminrack.log;

import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats a record as {@code time=… level=… logger=… event=… key=value}. */
final class KeyValueFormatter extends Formatter {

  @Override
  public String format(LogRecord record) {
    StringBuilder line = new StringBuilder();
    line.append("time=").append(record.getInstant());
    line.append(" level=").append(record.getLevel().getName());
    line.append(" logger=").append(simpleName(record.getLoggerName()));
    line.append(' ').append(body(record));
    if (record.getThrown() != null) {
      line.append(" error=\"").append(escape(record.getThrown().toString())).append('"');
    }
    return line.append('\n').toString();
  }

  private String body(LogRecord record) {
    String message = formatMessage(record);
    if (message != null && message.startsWith("event=")) {
      return message;
    }
    return LogEvent.named("library").with("message", message).toString();
  }

  private static String simpleName(String logger) {
    if (logger == null) {
      return "none";
    }
    return logger.substring(logger.lastIndexOf('.') + 1);
  }

  private static String escape(String text) {
    return text.replace('\n', ' ').replace('"', '\'');
  }
}
