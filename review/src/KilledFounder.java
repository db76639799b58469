import java.nio.charset.StandardCharsets;

/**
 * Kills one core process while the whole system starts for the first time, and starts it again.
 * Exits with 1 if the operator's first manifest is not acknowledged.
 */
final class KilledFounder {
  private static final int RUN_MILLIS = 300;
  private static final int DOWN_MILLIS = 500;

  /** The bounds recover-s and ack-ms of the site file, and as much again. */
  private static final int MAX_MILLIS = 32_000;

  public static void main(String[] args) throws Exception {
    int result;
    try (Deployment deployment = new Deployment(args[0])) {
      try {
        result = play(deployment, !"0".equals(System.getenv("TROUBLE")));
      } catch (Exception e) {
        deployment.log("the case could not run: " + e);
        result = 2;
      }
      deployment.log("exit " + result);
    }
    System.exit(result);
  }

  private static int play(Deployment deployment, boolean trouble) throws Exception {
    deployment.startAll(2);
    Thread.sleep(RUN_MILLIS);
    if (trouble) {
      deployment.kill("control-0");
      Thread.sleep(DOWN_MILLIS);
      deployment.startControl(0, false);
    }
    byte[] manifest = Manifests.of(1, 0, "").getBytes(StandardCharsets.UTF_8);
    Http.Response response =
        deployment.operator("POST", "/cuminrack/config/replace", manifest, MAX_MILLIS);
    boolean acked = response != null && response.status() == 200;
    deployment.log("operator: the first manifest, sent for up to " + MAX_MILLIS + " ms: "
        + (response == null ? "no answer" : response.status() + " " + response.text())
        + (acked ? "" : ": BROKEN"));
    return acked ? 0 : 1;
  }
}
