package org.cuminrack.system;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** The TCP sockets of this machine, as the kernel lists them. */
public final class TcpTable {
  private static final List<Path> FILES =
      List.of(Path.of("/proc/self/net/tcp"), Path.of("/proc/self/net/tcp6"));

  private static final int INODE_COLUMN = 9;

  private TcpTable() {}

  /** States of a socket, with the kernel's codes. */
  public enum State {
    ESTABLISHED("01"),
    SYN_SENT("02"),
    CLOSE_WAIT("08");

    private final String code;

    State(String code) {
      this.code = code;
    }
  }

  /** Counts the sockets in a state whose own port is the given one. */
  public static long countAt(int localPort, State state) {
    return count(1, localPort, state);
  }

  /** Counts the sockets in a state whose peer has the given port. */
  public static long countTo(int remotePort, State state) {
    return count(2, remotePort, state);
  }

  /** Counts the bytes that the sockets with this own port have received and not read yet. */
  public static long unreadBytesAt(int localPort) {
    String portSuffix = ":%04X".formatted(localPort);
    return lines().stream()
        .map(line -> line.strip().split("\\s+"))
        .filter(columns -> columns[1].endsWith(portSuffix))
        .filter(columns -> columns[3].equals(State.ESTABLISHED.code))
        .mapToLong(columns -> Long.parseLong(columns[4].substring(columns[4].indexOf(':') + 1), 16))
        .sum();
  }

  /** Returns whether a process has the socket with these ports. */
  public static boolean isOwnedBy(long pid, int localPort, int remotePort) {
    String local = ":%04X".formatted(localPort);
    String remote = ":%04X".formatted(remotePort);
    return lines().stream()
        .map(line -> line.strip().split("\\s+"))
        .filter(columns -> columns[1].endsWith(local) && columns[2].endsWith(remote))
        .anyMatch(columns -> holds(pid, "socket:[" + columns[INODE_COLUMN] + "]"));
  }

  private static boolean holds(long pid, String socket) {
    try (Stream<Path> descriptors = Files.list(Path.of("/proc", Long.toString(pid), "fd"))) {
      return descriptors.anyMatch(descriptor -> isLinkTo(descriptor, socket));
    } catch (IOException e) {
      // The process has ended.
      return false;
    }
  }

  private static boolean isLinkTo(Path descriptor, String target) {
    try {
      return Files.readSymbolicLink(descriptor).toString().equals(target);
    } catch (IOException e) {
      // Closed meanwhile.
      return false;
    }
  }

  private static long count(int addressColumn, int port, State state) {
    String portSuffix = ":%04X".formatted(port);
    return lines().stream()
        .map(line -> line.strip().split("\\s+"))
        .filter(columns -> columns[addressColumn].endsWith(portSuffix))
        .filter(columns -> columns[3].equals(state.code))
        .count();
  }

  private static List<String> lines() {
    List<String> lines = new ArrayList<>();
    try {
      for (Path file : FILES) {
        lines.addAll(Files.readAllLines(file));
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return lines;
  }
}
