package org.cuminrack.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Set;
import org.cuminrack.config.ConfigKey;
import org.cuminrack.config.ConfigKind;
import org.cuminrack.config.DataCentre;
import org.cuminrack.config.Route;
import org.cuminrack.config.Service;
import org.cuminrack.config.ServiceKind;
import org.cuminrack.generated.control.ChangeRequest;
import org.cuminrack.generated.control.ChangeVerdict;
import org.cuminrack.generated.control.Command;
import org.cuminrack.generated.control.ObjectChange;
import org.cuminrack.generated.control.Verdict;
import org.junit.jupiter.api.Test;

class ControlStateTest {
  private static final Service SHOP = new Service("shop", ServiceKind.PLAIN, true);
  private static final Route ORDERS = new Route("orders", "shop", Set.of("GET"), 5000, 4096);
  private static final DataCentre DRAINED = new DataCentre("dc-a", true);

  private final ControlState state = new ControlState();
  private long index;

  @Test
  void shouldApplyChangeAtItsLogIndex() {
    ChangeVerdict verdict = change("1", ConfigCodec.put(SHOP, 0), ConfigCodec.put(ORDERS, 0));

    assertThat(verdict.getVerdict()).isEqualTo(Verdict.ACCEPTED);
    assertThat(verdict.getRevision()).isEqualTo(1);
    assertThat(state.changesAfter(0).getObjectsCount()).isEqualTo(2);
  }

  @Test
  void shouldRejectWholeBatchOnConflict() {
    change("1", ConfigCodec.put(SHOP, 0));

    ChangeVerdict verdict = change("2", ConfigCodec.put(DRAINED, 0), ConfigCodec.put(SHOP, 7));

    assertThat(verdict.getVerdict()).isEqualTo(Verdict.CONFLICT);
    assertThat(verdict.getExpectedRevision()).isEqualTo(7);
    assertThat(ConfigCodec.toVersionedObject(verdict.getPresent()).object()).isEqualTo(SHOP);
    assertThat(state.changesAfter(0).getObjectsCount()).isEqualTo(1);
  }

  @Test
  void shouldRejectRouteToUnknownService() {
    ChangeVerdict verdict = change("1", ConfigCodec.put(ORDERS, 0));

    assertThat(verdict.getVerdict()).isEqualTo(Verdict.INVALID);
    assertThat(verdict.getDetail())
        .isEqualTo("route/orders: service: expected a service that exists, found 'shop'");
  }

  @Test
  void shouldRejectRemovalOfServiceInUse() {
    change("1", ConfigCodec.put(SHOP, 0), ConfigCodec.put(ORDERS, 0));

    ChangeVerdict verdict =
        change("2", ConfigCodec.remove(new ConfigKey(ConfigKind.SERVICE, "shop"), 1));

    assertThat(verdict.getVerdict()).isEqualTo(Verdict.INVALID);
  }

  @Test
  void shouldReturnOriginalVerdictForResend() {
    ChangeVerdict first = change("1", ConfigCodec.put(DRAINED, 0));
    change("2", ConfigCodec.put(new DataCentre("dc-a", false), 1));

    assertThat(change("1", ConfigCodec.put(DRAINED, 0))).isEqualTo(first);
  }

  @Test
  void shouldReturnOriginalVerdictForResendAfterSnapshot() {
    ChangeVerdict first = change("1", ConfigCodec.put(DRAINED, 0));
    ControlState restored = new ControlState();
    restored.restore(index, state.snapshot());

    byte[] again = restored.apply(2, command("1", ConfigCodec.put(DRAINED, 0)));

    assertThat(again).isEqualTo(first.toByteArray());
    assertThat(restored.revision()).isEqualTo(1);
  }

  @Test
  void shouldRejectChangeIdReusedForAnotherChange() {
    change("1", ConfigCodec.put(DRAINED, 0));

    ChangeVerdict verdict = change("1", ConfigCodec.put(SHOP, 0));

    assertThat(verdict.getVerdict()).isEqualTo(Verdict.CHANGE_ID_REUSED);
    assertThat(state.revision()).isEqualTo(1);
  }

  @Test
  void shouldAcceptExactlyOneOfTwoChangesWithTheSameExpectedRevision() {
    change("base", ConfigCodec.put(DRAINED, 0));
    for (int round = 1; round <= 50; round++) {
      long revision = index;

      ChangeVerdict first = change("x" + round, ConfigCodec.put(DRAINED, revision));
      ChangeVerdict second =
          change("y" + round, ConfigCodec.put(new DataCentre("dc-a", false), revision));

      assertThat(first.getVerdict()).isEqualTo(Verdict.ACCEPTED);
      assertThat(second.getVerdict()).isEqualTo(Verdict.CONFLICT);
      assertThat(second.getPresent().getRevision()).isEqualTo(first.getRevision());
      change("z" + round, ConfigCodec.put(DRAINED, first.getRevision()));
    }
  }

  @Test
  void shouldEvictOldestVerdictsFirst() {
    for (int i = 0; i <= ChangeVerdicts.MAX_VERDICTS; i++) {
      change("c" + i, ConfigCodec.put(DRAINED, i));
    }

    ChangeVerdict newest = change("c" + (index - 1), ConfigCodec.put(DRAINED, index - 1));
    ChangeVerdict oldest = change("c0", ConfigCodec.put(DRAINED, 0));

    assertThat(newest.getVerdict()).isEqualTo(Verdict.ACCEPTED);
    assertThat(oldest.getVerdict()).isEqualTo(Verdict.CONFLICT);
  }

  private ChangeVerdict change(String changeId, ObjectChange... changes) {
    index++;
    try {
      return ChangeVerdict.parseFrom(state.apply(index, command(changeId, changes)));
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  private static byte[] command(String changeId, ObjectChange... changes) {
    ChangeRequest.Builder request = ChangeRequest.newBuilder().setChangeId(changeId);
    for (ObjectChange change : changes) {
      request.addChanges(change);
    }
    return Command.newBuilder().setChange(request).build().toByteArray();
  }
}
