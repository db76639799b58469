package org.cuminrack.control;

import com.google.protobuf.ByteString;
import java.util.Random;
import java.util.Set;
import org.cuminrack.config.ConfigKey;
import org.cuminrack.config.ConfigKind;
import org.cuminrack.config.DataCentre;
import org.cuminrack.config.Route;
import org.cuminrack.config.Service;
import org.cuminrack.config.ServiceKind;
import org.cuminrack.generated.control.AnswerData;
import org.cuminrack.generated.control.CallKeyData;
import org.cuminrack.generated.control.ChangeRequest;
import org.cuminrack.generated.control.ClaimRequest;
import org.cuminrack.generated.control.ClearSuspectRequest;
import org.cuminrack.generated.control.Command;
import org.cuminrack.generated.control.CrashRequest;
import org.cuminrack.generated.control.EndSession;
import org.cuminrack.generated.control.FinishRequest;
import org.cuminrack.generated.control.FinishResult;
import org.cuminrack.generated.control.MarkStopping;
import org.cuminrack.generated.control.ObjectChange;
import org.cuminrack.generated.control.OpenSessionRequest;
import org.cuminrack.generated.control.Tick;

/**
 * Generates random commands of most kinds, deterministic per seed. Uses only a few names, so that
 * collisions are likely.
 */
final class CommandGenerator {
  private static final int TOTAL_WEIGHT = 10;
  private static final int DISTINCT_NAMES = 4;
  private static final int MAX_STEP_MILLIS = 2_000_000;

  private final Random random;
  private long timeMillis;
  private int index;

  CommandGenerator(long seed) {
    this.random = new Random(seed);
  }

  byte[] next() {
    index++;
    timeMillis += random.nextInt(MAX_STEP_MILLIS);
    Command.Builder command = Command.newBuilder().setTimeMillis(timeMillis);
    switch (random.nextInt(TOTAL_WEIGHT)) {
      case 0, 1 -> command.setChange(change());
      case 2 -> command.setOpenSession(open());
      case 3 -> command.setEndSession(EndSession.newBuilder().setSessionId(id()));
      case 4 -> command.setMarkStopping(MarkStopping.newBuilder().setSessionId(id()));
      case 5 -> command.setClaim(claim());
      case 6 -> command.setFinish(finish());
      case 7 -> command.setCrash(crash());
      case 8 -> command.setClearSuspect(ClearSuspectRequest.newBuilder().setFingerprint(name()));
      default -> command.setTick(Tick.getDefaultInstance());
    }
    return command.build().toByteArray();
  }

  private ChangeRequest change() {
    ChangeRequest.Builder request = ChangeRequest.newBuilder().setChangeId(name() + name());
    for (int i = 0; i <= random.nextInt(2); i++) {
      request.addChanges(objectChange(random.nextInt(3) == 0 ? index - 1 : 0));
    }
    return request.build();
  }

  private ObjectChange objectChange(long expectedRevision) {
    return switch (random.nextInt(4)) {
      case 0 -> ConfigCodec.put(new Service(name(), ServiceKind.PLAIN, true), expectedRevision);
      case 1 ->
          ConfigCodec.put(new Route(name(), name(), Set.of("GET", "HEAD"), 1, 1), expectedRevision);
      case 2 -> ConfigCodec.put(new DataCentre(name(), random.nextBoolean()), expectedRevision);
      default ->
          ConfigCodec.remove(new ConfigKey(ConfigKind.DATA_CENTRE, name()), expectedRevision);
    };
  }

  private OpenSessionRequest open() {
    return OpenSessionRequest.newBuilder()
        .setToken(name())
        .setName(name())
        .setReplaces(random.nextBoolean() ? 0 : id())
        .build();
  }

  private ClaimRequest claim() {
    return ClaimRequest.newBuilder()
        .setKey(key())
        .setFingerprint(name())
        .setSessionId(id())
        .setToken(name())
        .build();
  }

  private FinishRequest finish() {
    return FinishRequest.newBuilder()
        .setKey(key())
        .setClaimId(random.nextBoolean() ? 0 : id())
        .setToken(name())
        .setResult(FinishResult.forNumber(random.nextInt(3)))
        .setAnswer(AnswerData.newBuilder().setBody(ByteString.copyFromUtf8(name())))
        .build();
  }

  private CrashRequest crash() {
    return CrashRequest.newBuilder()
        .setUpstream(name())
        .setBootId(name())
        .addFingerprints(name())
        .addFingerprints(name())
        .build();
  }

  private CallKeyData key() {
    return CallKeyData.newBuilder().setIdempotencyKey(name()).build();
  }

  private long id() {
    return 1L + random.nextInt(index);
  }

  private String name() {
    return "n" + random.nextInt(DISTINCT_NAMES);
  }
}
