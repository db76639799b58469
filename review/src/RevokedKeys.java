import java.util.concurrent.atomic.AtomicInteger;

/**
 * Takes the keys of two tenants away, one after the other. Exits with 1 if a request runs with a
 * key that was taken away, or that no manifest ever held.
 */
final class RevokedKeys {
  /** The bound config-apply-ms of the site file is 2,000; a second more is granted. */
  private static final int SETTLE_MILLIS = 3000;

  private final Deployment deployment;
  private final AtomicInteger attempts = new AtomicInteger();

  private RevokedKeys(Deployment deployment) {
    this.deployment = deployment;
  }

  public static void main(String[] args) throws Exception {
    int result;
    try (Deployment deployment = new Deployment(args[0])) {
      try {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        result = new RevokedKeys(deployment).play(trouble);
      } catch (Exception e) {
        deployment.log("the case could not run: " + e);
        result = 2;
      }
      deployment.log("exit " + result);
    }
    System.exit(result);
  }

  private int play(boolean trouble) throws Exception {
    deployment.startAll(2);
    deployment.putManifest(manifest(1, "\"key-of-huka\"", "\"key-of-mova\""), 15000);
    Server.Handler shop =
        (request, socket, out) -> {
          deployment.log("server: runs " + request.headers().get("attempt-id") + " with Tenant "
              + request.headers().get("tenant"));
          Server.answer(out, 200, Server.sealed(request), "stored".getBytes());
        };
    for (int i = 0; i < 3; i++) {
      new Server(deployment, i, "shop", 6, shop);
    }
    deployment.awaitReady(2, 15000);
    Thread.sleep(2000);
    expect("key-of-huka", 200);
    expect("key-of-mova", 200);
    expect("key-never-held", 401);
    boolean broken = false;
    if (trouble) {
      change(2, "", "\"key-of-mova\"");
      broken |= !expect("key-of-huka", 401);
      broken |= !expect("key-of-mova", 200);
      change(3, "", "");
    } else {
      change(3, "\"key-of-huka\"", "\"key-of-mova\"");
      broken |= !expect("key-of-huka", 200);
    }
    broken |= trouble && !expect("key-of-huka", 401);
    broken |= trouble && !expect("key-of-mova", 401);
    broken |= !expect("key-never-held", 401);
    return broken ? 1 : 0;
  }

  private void change(long version, String hukaKeys, String movaKeys) throws Exception {
    deployment.putManifest(manifest(version, hukaKeys, movaKeys), 8000);
    deployment.log("operator: version " + version + " acknowledged, keys of huka [" + hukaKeys
        + "], of mova [" + movaKeys + "]");
    Thread.sleep(SETTLE_MILLIS);
  }

  private static String manifest(long version, String hukaKeys, String movaKeys) {
    return Manifests.of(version, 0,
        "[{\"name\":\"huka\",\"api-keys\":[" + hukaKeys + "],\"priority\":1},"
            + "{\"name\":\"mova\",\"api-keys\":[" + movaKeys + "],\"priority\":1}]");
  }

  /** Sends an order to each gateway with a key; returns whether each was answered as expected. */
  private boolean expect(String key, int expected) throws Exception {
    boolean asExpected = true;
    for (int gateway = 0; gateway < 2; gateway++) {
      String attempt = "attempt-" + attempts.incrementAndGet();
      int status =
          Http.call(deployment.frontAddress(gateway), "POST", "/order/x", "an order".getBytes(),
              3000, "Host: " + Manifests.HOST, "Attempt-Id: " + attempt, "Deadline-Ms: 1000",
              "Authorization: Bearer " + key, "Connection: close").status();
      asExpected &= status == expected;
      deployment.log("caller: " + attempt + " at gateway " + gateway + " with " + key + ": "
          + status + (status == expected ? "" : ", expected " + expected + ": BROKEN"));
    }
    return asExpected;
  }
}
