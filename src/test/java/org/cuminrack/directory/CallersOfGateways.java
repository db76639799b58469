package org.cuminrack.directory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.function.UnaryOperator;
import org.cuminrack.fleet.GatewayLoad;
import org.cuminrack.fleet.GatewayRecord;
import org.cuminrack.fleet.GatewaySize;
import org.cuminrack.fleet.LoadedGateway;

/**
 * Callers that choose at random among the gateways of an answer and keep it for one life of answers
 * or three, and up to 200 ms longer, second by second. Loads are expected values.
 */
final class CallersOfGateways {
  static final GatewaySize SMALL = new GatewaySize(0.27, 5.25, 266, 2212);
  static final GatewaySize LARGE = new GatewaySize(0.9, 17.5, 390, 10_250);
  private static final int CALLERS_OF_EACH = 100;
  static final Duration LIFE = Duration.ofSeconds(2);
  private static final List<String> DATA_CENTRES = List.of("dc-a", "dc-b", "dc-c");

  final List<GatewayRecord> gateways = new ArrayList<>();
  final Map<String, GatewaySize> sizes = new HashMap<>();
  final Set<String> lost = new HashSet<>();
  final Set<String> everNamed = new HashSet<>();
  UnaryOperator<OptionalDouble> statedUse = use -> use;
  private final List<CallerState> callers = new ArrayList<>();
  private Map<String, Double> useByVm = new HashMap<>();
  private double crossingLoad;
  private double load;
  private int second;
  private final Random random = new Random(7);

  CallersOfGateways(int gatewayCount, double smallShare, Callers kind) {
    for (int i = 0; i < gatewayCount; i++) {
      String vm = "gw-%03d".formatted(i);
      gateways.add(new GatewayRecord(vm, DATA_CENTRES.get(i % 3), vm + ":80", vm + ":72", true));
      sizes.put(vm, i / 3 % 10 < smallShare * 10 ? SMALL : LARGE);
    }
    for (String dataCentre : DATA_CENTRES) {
      for (int i = 0; i < CALLERS_OF_EACH; i++) {
        callers.add(
            new CallerState(
                new Caller(dataCentre, kind == Callers.TOLD_APART ? "10.0.0." + i : "10.0.0.1"),
                i));
      }
    }
  }

  /**
   * Plays a second; the demand of a data centre's callers is a fraction of a third of all cores.
   */
  void play(ToDoubleFunction<String> demand) {
    List<LoadedGateway> live =
        gateways.stream()
            .filter(gateway -> !lost.contains(gateway.vm()))
            .map(this::stated)
            .toList();
    Map<String, Double> loadByVm = new HashMap<>();
    double cores = sizes.values().stream().mapToDouble(GatewaySize::cores).sum();
    double eachCaller = cores / callers.size();
    crossingLoad = 0;
    load = 0;
    for (CallerState state : callers) {
      if (state.nextLookUpMillis < (second + 1) * 1000L) {
        state.answer = GatewayChoice.choose(live, state.caller, state.nextLookUpMillis, LIFE);
        state.nextLookUpMillis += state.keepMillis + random.nextInt(200);
        state.answer.forEach(gateway -> everNamed.add(gateway.vm()));
      }
      List<GatewayRecord> usable =
          state.answer.stream().filter(gateway -> !lost.contains(gateway.vm())).toList();
      double demanded = eachCaller * demand.applyAsDouble(state.caller.dataCentre());
      for (GatewayRecord gateway : usable) {
        loadByVm.merge(gateway.vm(), demanded / usable.size(), Double::sum);
        load += demanded / usable.size();
        if (!gateway.dataCentre().equals(state.caller.dataCentre())) {
          crossingLoad += demanded / usable.size();
        }
      }
    }
    useByVm = new HashMap<>();
    loadByVm.forEach((vm, cpu) -> useByVm.put(vm, cpu / sizes.get(vm).cores()));
    second++;
  }

  private LoadedGateway stated(GatewayRecord gateway) {
    OptionalDouble use = OptionalDouble.of(useByVm.getOrDefault(gateway.vm(), 0.0));
    return new LoadedGateway(
        gateway,
        new GatewayLoad(sizes.get(gateway.vm()), statedUse.apply(use)),
        Duration.ofMillis(300));
  }

  /** Returns the use of the fullest gateway. */
  double fullest() {
    return useByVm.values().stream().mapToDouble(use -> use).max().orElse(0);
  }

  /** Returns the share of load at gateways outside of the callers' data centres. */
  double crossingShare() {
    return crossingLoad / load;
  }

  private final class CallerState {
    private final Caller caller;
    private final long keepMillis;
    private long nextLookUpMillis;
    private List<GatewayRecord> answer = List.of();

    CallerState(Caller caller, int number) {
      this.caller = caller;
      this.keepMillis = LIFE.toMillis() * (number % 4 == 0 ? 3 : 1);
      this.nextLookUpMillis = random.nextInt((int) LIFE.toMillis());
    }
  }

  /** Whether the directory can tell callers of one data centre apart. */
  enum Callers {
    TOLD_APART,
    OF_ONE_ADDRESS
  }
}
