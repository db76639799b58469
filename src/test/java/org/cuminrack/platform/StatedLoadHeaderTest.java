package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.OptionalDouble;
import org.cuminrack.pace.StatedLoad;
import org.junit.jupiter.api.Test;

class StatedLoadHeaderTest {
  @Test
  void shouldReadTheLoad() {
    assertThat(StatedLoadHeader.parse("3, 0,8").get())
        .isEqualTo(new StatedLoad(3, 0, 8, OptionalDouble.empty()));
  }

  @Test
  void shouldReadHowLongWorkTakes() {
    assertThat(StatedLoadHeader.parse("3,0,8,250").get())
        .isEqualTo(new StatedLoad(3, 0, 8, OptionalDouble.of(2.5)));
  }

  @Test
  void shouldRejectFiguresThatCannotBeTrue() {
    List<String> absurd =
        List.of(
            "",
            "3,0",
            "3,0,8,100,1",
            "-1,0,8",
            "3,-1,8",
            "3,0,0",
            "3,0,8,",
            "3,0,8,-100",
            "3,0,8,0",
            "3,0,8,NaN",
            "3,0,8,Infinity",
            "3,0,8,1e9",
            "99999999999,0,8",
            "9999999,0,8",
            "x,0,8");
    for (String text : absurd) {
      assertWithMessage(text).that(StatedLoadHeader.parse(text).isLeft()).isTrue();
    }
    assertThat(StatedLoadHeader.parse("3,0").getLeft())
        .isEqualTo(
            "Server-Load: expected running,waiting,slots and perhaps a percentage, found '3,0'");
  }
}
