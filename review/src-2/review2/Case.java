package review2;

import java.nio.file.Path;
import java.util.Map;

/**
 * Runs one case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 * With TROUBLE=0 in the environment the case leaves the disruption out.
 */
public final class Case {
  private static final int HELD = 0;
  private static final int BROKEN = 1;
  private static final int NOT_RUN = 2;
  private static final long LIMIT_MILLIS = 115_000;

  private Case() {}

  /** Returns whether the rule held. */
  interface Script {
    boolean run(Record record, boolean trouble) throws Exception;
  }

  private static final Map<String, Script> SCRIPTS =
      Map.of(
          "slow-answer-at-stop", SlowAnswerAtStop::run,
          "foreign-report", ForeignReport::run,
          "requesters-leave", RequestersLeave::run,
          "leave-forgotten", LeaveForgotten::run);

  public static void main(String[] arguments) throws Exception {
    Thread watchdog =
        new Thread(
            () -> {
              Upstream.sleep(LIMIT_MILLIS);
              System.err.println("the case takes too long");
              System.exit(NOT_RUN);
            });
    watchdog.setDaemon(true);
    watchdog.start();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = NOT_RUN;
    try (Record record = new Record(Path.of(arguments[1]))) {
      try {
        status = SCRIPTS.get(arguments[0]).run(record, trouble) ? HELD : BROKEN;
        record.line(status == HELD ? "the rule held" : "the rule is broken");
      } catch (Exception e) {
        record.line("could not run: %s", e);
        e.printStackTrace();
      }
    }
    System.exit(status);
  }
}
