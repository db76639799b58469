import java.nio.charset.StandardCharsets;
import java.nio.file.Files;

/**
 * Sends hundreds of manifests, one after the other; with the disruption, of many routes. Exits with
 * 1 if one is not acknowledged in time, or the newest acknowledged one can't be read back, before or
 * after a restart of the core.
 */
final class ManyManifests {
  /** The largest dose of big_config adds 350 routes; it comes eight times. */
  private static final int MANY_ROUTES = 8 * 350;

  private static final int FEW_ROUTES = 8;
  private static final int CHANGES = 300;

  /** The bound ack-ms of the site file. */
  private static final int ACK_MILLIS = 4000;

  /** What the rule adds to it for each route of a manifest. */
  private static final int ACK_MILLIS_PER_ROUTE = 3;

  /** Changes that are not acknowledged, after which no more are sent. */
  private static final int MAX_UNACKED = 2;

  /** The bound recover-s of the site file. */
  private static final int RECOVER_MILLIS = 12_000;

  private static final long MAX_SENDING_NANOS = 55_000_000_000L;

  private final Deployment deployment;
  private long ackedVersion = 1;

  private ManyManifests(Deployment deployment) {
    this.deployment = deployment;
  }

  public static void main(String[] args) throws Exception {
    int result;
    try (Deployment deployment = new Deployment(args[0])) {
      try {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        result = new ManyManifests(deployment).play(trouble ? MANY_ROUTES : FEW_ROUTES);
      } catch (Exception e) {
        deployment.log("the case could not run: " + e);
        result = 2;
      }
      deployment.log("exit " + result);
    }
    System.exit(result);
  }

  private int play(int routes) throws Exception {
    deployment.startAll(2);
    deployment.putManifest(Manifests.of(1, FEW_ROUTES, ""), 15000);
    deployment.awaitReady(2, 15000);
    boolean broken = !sendChanges(routes);
    broken |= !readBack();
    logErrors();
    deployment.restartCore();
    broken |= !readBack();
    logErrors();
    return broken ? 1 : 0;
  }

  /** Returns whether each change was acknowledged in time. */
  private boolean sendChanges(int routes) throws Exception {
    long startNanos = System.nanoTime();
    long bytes = 0;
    int ackMillis = ACK_MILLIS + ACK_MILLIS_PER_ROUTE * (routes + 3);
    int unacked = 0;
    for (int i = 0;
        i < CHANGES
            && unacked < MAX_UNACKED
            && System.nanoTime() - startNanos < MAX_SENDING_NANOS;
        i++) {
      long version = 2 + 3L * i;
      byte[] manifest = Manifests.of(version, routes, "").getBytes(StandardCharsets.UTF_8);
      Http.Response response =
          deployment.operator("POST", "/cuminrack/config/replace", manifest, ackMillis);
      if (response != null && response.status() == 200) {
        ackedVersion = version;
        bytes += manifest.length;
      } else {
        unacked++;
        deployment.log("operator: version " + version + " not acknowledged: "
            + (response == null ? "no answer" : response.status() + " " + response.text())
            + " after " + ackMillis + " ms: BROKEN");
      }
      if (i % 50 == 0) {
        deployment.log("operator: " + (i + 1) + " changes sent, the last of " + manifest.length
            + " bytes");
      }
    }
    deployment.log("operator: version " + ackedVersion + " is the newest acknowledged one, "
        + bytes + " bytes acknowledged in all, " + unacked + " changes not acknowledged");
    return unacked == 0;
  }

  /** Returns whether the newest acknowledged version, or a later one, is read back in time. */
  private boolean readBack() throws Exception {
    long endNanos = System.nanoTime() + RECOVER_MILLIS * 1_000_000L;
    String last = "nothing";
    while (System.nanoTime() < endNanos) {
      Http.Response response =
          deployment.operator("GET", "/cuminrack/config/get", new byte[0], 1000);
      if (response != null) {
        last = response.status() + " " + response.text();
      }
      if (response != null && response.status() == 200) {
        long version = Long.parseLong(response.text().replaceAll("(?s).*?\"version\":(\\d+).*", "$1"));
        deployment.log("operator: reads back version " + version);
        return version >= ackedVersion;
      }
    }
    deployment.log("operator: version " + ackedVersion + " can't be read back in "
        + RECOVER_MILLIS + " ms, last answer: " + last + ": BROKEN");
    return false;
  }

  private void logErrors() throws Exception {
    for (int i = 0; i < Deployment.CONTROLS; i++) {
      String name = "control-" + i;
      String errors = new String(Files.readAllBytes(deployment.logFile(name)),
          StandardCharsets.UTF_8).lines().filter(line -> line.contains("OutOfMemoryError"))
          .map(line -> line.substring(0, Math.min(160, line.length()))).limit(2).toList()
          .toString();
      deployment.log(name + (deployment.process(name).isAlive() ? " runs, " : " has ended, ")
          + "errors in its log: " + errors);
    }
  }
}
