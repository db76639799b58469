package org.cuminrack.directory;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.cuminrack.directory.CallersOfGateways.Callers;
import org.cuminrack.fleet.GatewayLoad;
import org.cuminrack.fleet.GatewayRecord;
import org.cuminrack.fleet.GatewaySize;
import org.cuminrack.fleet.LoadedGateway;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class GatewayChoiceTest {
  private static final Caller CALLER = new Caller("dc-a", "10.0.0.1/shop.example");

  @ParameterizedTest
  @ValueSource(ints = {1, 7, 54, 64})
  void shouldNameAllOfFewEqualGateways(int count) {
    List<LoadedGateway> gateways = equalGateways(count);

    assertThat(choose(gateways, CALLER, 0)).hasSize(count);
  }

  @Test
  void shouldNameServingGatewaysOnly() {
    List<LoadedGateway> gateways = new ArrayList<>(equalGateways(70));
    LoadedGateway stopping = loaded("gw-x", false, OptionalDouble.of(0));
    gateways.add(stopping);

    for (int second = 0; second < 60; second++) {
      assertThat(choose(gateways, CALLER, second * 100L)).doesNotContain(stopping.gateway());
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {67, 120, 370})
  void shouldNameEachGatewayToSomeCallers(int count) {
    List<LoadedGateway> gateways = equalGateways(count);
    Set<String> named = new HashSet<>();

    for (String dataCentre : List.of("dc-a", "dc-b", "dc-c", "")) {
      for (int i = 0; i < 30; i++) {
        List<GatewayRecord> answer = choose(gateways, new Caller(dataCentre, "10.0.0." + i), 0);
        assertThat(answer.size()).isAtMost(64);
        answer.forEach(gateway -> named.add(gateway.vm()));
      }
    }

    assertThat(named).hasSize(count);
  }

  @Test
  void shouldNameEachGatewayWithinLifeOfAnswerThoughCallersShareAnAddress() {
    List<LoadedGateway> gateways = equalGateways(120);
    Set<String> named = new HashSet<>();

    for (int millis = 0; millis < 2000; millis += 100) {
      choose(gateways, new Caller("", "10.0.0.1"), millis)
          .forEach(gateway -> named.add(gateway.vm()));
    }

    assertThat(named).hasSize(120);
  }

  @Test
  void shouldChangeFewAddressesFromOneLookUpToTheNext() {
    CallersOfGateways world = new CallersOfGateways(67, 0.5, Callers.TOLD_APART);
    List<LoadedGateway> gateways =
        world.gateways.stream()
            .map(gateway -> loaded(gateway, world.sizes.get(gateway.vm()), OptionalDouble.of(0.5)))
            .toList();
    int named = 0;
    int dropped = 0;

    for (int millis = 0; millis < 2000; millis += 10) {
      List<GatewayRecord> answer = choose(gateways, CALLER, millis);
      List<GatewayRecord> next = choose(gateways, CALLER, millis + 2000 + 50);
      named += answer.size();
      dropped += (int) answer.stream().filter(gateway -> !next.contains(gateway)).count();
    }

    assertThat((double) dropped / named).isAtMost(0.12);
  }

  @Test
  void shouldEvenOutLoadOfTwoSizesUnderWave() {
    CallersOfGateways world = new CallersOfGateways(67, 0.5, Callers.TOLD_APART);
    double crossings = 0;

    for (int second = 0; second < 180; second++) {
      world.play(wave(second));
      if (second >= 20) {
        assertThat(world.fullest()).isAtMost(1);
      }
      crossings += world.crossingShare() / 180;
    }

    assertThat(world.everNamed).hasSize(67);
    assertThat(crossings).isAtMost(0.2);
  }

  @Test
  void shouldEvenOutLoadOfCallersThatShareAnAddress() {
    CallersOfGateways world = new CallersOfGateways(67, 0.5, Callers.OF_ONE_ADDRESS);

    for (int second = 0; second < 120; second++) {
      world.play(dataCentre -> 0.5);
      assertThat(world.fullest()).isAtMost(1);
    }
  }

  @Test
  void shouldMoveCallersOfLostDataCentreAndBack() {
    CallersOfGateways world = new CallersOfGateways(67, 0.5, Callers.TOLD_APART);
    play(world, 30, dataCentre -> 0.5);

    world.gateways.stream()
        .filter(gateway -> gateway.dataCentre().equals("dc-a"))
        .forEach(gateway -> world.lost.add(gateway.vm()));
    play(world, 30, dataCentre -> 0.5);

    assertThat(world.fullest()).isAtMost(1);

    world.lost.clear();
    play(world, 60, dataCentre -> 0.5);

    assertThat(world.fullest()).isAtMost(1);
    assertThat(world.crossingShare()).isAtMost(0.15);
  }

  @Test
  void shouldMoveCallersOutOfFullDataCentre() {
    CallersOfGateways world = new CallersOfGateways(67, 0.5, Callers.TOLD_APART);

    play(world, 60, dataCentre -> dataCentre.equals("dc-a") ? 1.2 : 0.3);

    assertThat(world.fullest()).isAtMost(1);
    assertThat(world.crossingShare()).isAtLeast(0.2);
  }

  @ParameterizedTest
  @ValueSource(doubles = {-1, 1e9, Double.NaN, Double.POSITIVE_INFINITY})
  void shouldCountAbsurdUseAsEqualShare(double absurd) {
    CallersOfGateways world = new CallersOfGateways(67, 0.5, Callers.TOLD_APART);
    world.statedUse = use -> OptionalDouble.of(absurd);

    play(world, 30, dataCentre -> 0.5);

    assertThat(world.fullest()).isAtMost(1);
    assertThat(world.everNamed).hasSize(67);
  }

  @ParameterizedTest
  @ValueSource(doubles = {-1, 1e9, Double.NaN, Double.POSITIVE_INFINITY})
  void shouldCountAbsurdSizeOfOneGatewayAsMedian(double absurd) {
    CallersOfGateways world = new CallersOfGateways(67, 0, Callers.TOLD_APART);
    List<LoadedGateway> gateways = new ArrayList<>();
    for (GatewayRecord gateway : world.gateways) {
      GatewaySize size =
          gateway.vm().equals("gw-000")
              ? new GatewaySize(absurd, absurd, 1, 1)
              : CallersOfGateways.LARGE;
      gateways.add(loaded(gateway, size, OptionalDouble.of(0.5)));
    }

    long named =
        IntStream.range(0, 100)
            .mapToObj(i -> choose(gateways, new Caller("", "10.0.0." + i), 0))
            .filter(answer -> answer.contains(world.gateways.get(0)))
            .count();

    assertThat(named).isIn(Range.closed(85L, 100L));
  }

  @Test
  void shouldEvenOutLoadWhenFiguresStop() {
    CallersOfGateways world = new CallersOfGateways(67, 0.5, Callers.TOLD_APART);
    play(world, 30, dataCentre -> 0.5);
    world.statedUse = use -> OptionalDouble.empty();

    play(world, 30, dataCentre -> 0.5);

    assertThat(world.fullest()).isAtMost(1);
  }

  private static List<GatewayRecord> choose(
      List<LoadedGateway> gateways, Caller caller, long nowMillis) {
    return GatewayChoice.choose(gateways, caller, nowMillis, CallersOfGateways.LIFE);
  }

  private static ToDoubleFunction<String> wave(int second) {
    return dataCentre -> {
      int phase = List.of("dc-a", "dc-b", "dc-c").indexOf(dataCentre);
      return 0.55 * (1 + 0.5 * Math.sin(2 * Math.PI * (second / 45.0 + phase / 3.0)));
    };
  }

  private static void play(CallersOfGateways world, int seconds, ToDoubleFunction<String> demand) {
    for (int i = 0; i < seconds; i++) {
      world.play(demand);
    }
  }

  private static List<LoadedGateway> equalGateways(int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> loaded("gw-%03d".formatted(i), true, OptionalDouble.of(0.5)))
        .toList();
  }

  private static LoadedGateway loaded(String vm, boolean serving, OptionalDouble use) {
    String dataCentre = "dc-" + (char) ('a' + Math.floorMod(vm.hashCode(), 3));
    return loaded(
        new GatewayRecord(vm, dataCentre, vm + ":80", vm + ":72", serving),
        CallersOfGateways.LARGE,
        use);
  }

  private static LoadedGateway loaded(GatewayRecord gateway, GatewaySize size, OptionalDouble use) {
    return new LoadedGateway(gateway, new GatewayLoad(size, use), Duration.ZERO);
  }
}
