package org.cuminrack.relay;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** An upstream on loopback whose responses are scripted by the test. */
final class ScriptedUpstream implements AutoCloseable {
  private final String name;
  private final String bootId;
  private final ServerSocket server;
  private final Socket portReservation = new Socket();
  private final Map<String, Script> scripts = new ConcurrentHashMap<>();
  private final List<ScriptedConnection> connections = new CopyOnWriteArrayList<>();
  final List<String> requestLines = new CopyOnWriteArrayList<>();

  private ScriptedUpstream(String name, String bootId, ServerSocket server) {
    this.name = name;
    this.bootId = bootId;
    this.server = server;
  }

  /** Responds to one request. */
  interface Script {
    void respond(ScriptedConnection connection) throws IOException;
  }

  static ScriptedUpstream start(String name, String bootId) {
    return start(name, bootId, 0);
  }

  static ScriptedUpstream start(String name, String bootId, int port) {
    try {
      ServerSocket server = new ServerSocket(port, 512, InetAddress.getLoopbackAddress());
      ScriptedUpstream upstream = new ScriptedUpstream(name, bootId, server);
      upstream.run(upstream::accept);
      return upstream;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  String name() {
    return name;
  }

  String bootId() {
    return bootId;
  }

  int port() {
    return server.getLocalPort();
  }

  String address() {
    return "127.0.0.1:" + port();
  }

  /**
   * Sets the script for requests whose request line has the given prefix, such as {@code "GET
   * /v1/status"}. The longest matching prefix applies.
   */
  ScriptedUpstream on(String requestLinePrefix, Script script) {
    scripts.put(requestLinePrefix, script);
    return this;
  }

  /** Counts the requests whose request line has the given prefix. */
  long count(String requestLinePrefix) {
    return requestLines.stream().filter(line -> line.startsWith(requestLinePrefix)).count();
  }

  private void run(Runnable task) {
    Thread thread = new Thread(task, "scripted-" + name);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        run(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (ScriptedConnection connection = new ScriptedConnection(socket)) {
      if (!register(connection)) {
        connection.reset();
        return;
      }
      String line = connection.readRequest();
      if (line.isEmpty()) {
        return;
      }
      requestLines.add(line);
      script(line).respond(connection);
    } catch (IOException e) {
      // The entry closed the connection, or the test reset it.
    }
  }

  /** Returns false if the upstream has crashed since the connection was accepted. */
  private synchronized boolean register(ScriptedConnection connection) {
    connections.add(connection);
    return !server.isClosed();
  }

  private Script script(String line) {
    return scripts.entrySet().stream()
        .filter(entry -> line.startsWith(entry.getKey()))
        .max(Map.Entry.comparingByKey())
        .map(Map.Entry::getValue)
        .orElse(connection -> connection.respond(404, Map.of(), ""));
  }

  /** Simulates a killed process: the port refuses connections, and open ones are reset. */
  synchronized void crash() {
    try {
      server.close();
      connections.forEach(ScriptedConnection::reset);
      reservePort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Binds the port again, if possible, so that no other process can use it. */
  private void reservePort() throws IOException {
    portReservation.setReuseAddress(true);
    try {
      portReservation.bind(server.getLocalSocketAddress());
    } catch (BindException e) {
      // A connection still uses the port, so other processes cannot bind it either.
    }
  }

  @Override
  public synchronized void close() {
    try {
      server.close();
      connections.forEach(ScriptedConnection::reset);
      portReservation.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
