package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.cuminrack.time.ManualClock;
import org.junit.jupiter.api.Test;

class ServiceReachTest {
  private final ServiceReach reach = new ServiceReach(new ManualClock());

  @Test
  void shouldTakeAServiceForUnreachedOnceTwoUpstreamsFailInARow() {
    reach.recordNoResponse("shop", "s-1");
    reach.recordNoResponse("shop", "s-1");
    assertThat(reach.unreachedServices()).isEqualTo(0);

    reach.recordNoResponse("shop", "s-2");

    assertThat(reach.unreachedServices()).isEqualTo(1);
  }

  @Test
  void shouldTakeAServiceForReachedAgainAtTheFirstResponse() {
    reach.recordNoResponse("shop", "s-1");
    reach.recordNoResponse("shop", "s-2");

    reach.recordResponse("shop");

    assertThat(reach.unreachedServices()).isEqualTo(0);
  }

  @Test
  void shouldNotAddUpFailuresWithAResponseBetweenThem() {
    reach.recordNoResponse("shop", "s-1");
    reach.recordResponse("shop");
    reach.recordNoResponse("shop", "s-2");

    assertThat(reach.unreachedServices()).isEqualTo(0);
  }

  @Test
  void shouldJudgeEachServiceByItself() {
    reach.recordNoResponse("shop", "s-1");
    reach.recordNoResponse("llm", "e-1");
    reach.recordResponse("llm");

    assertThat(reach.unreachedServices()).isEqualTo(0);
  }
}
