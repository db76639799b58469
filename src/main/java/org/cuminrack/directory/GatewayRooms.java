package org.cuminrack.directory;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.cuminrack.fleet.GatewayLoad;
import org.cuminrack.fleet.GatewaySize;
import org.cuminrack.fleet.LoadedGateway;

/**
 * The room of gateways by what they state. What is missing, stale or absurd counts as the median
 * size and the mean use.
 */
record GatewayRooms(List<GatewayRoom> rooms) {
  /** Sizes that differ more than this from the median are taken for errors. */
  private static final double MAX_SIZE_RATIO = 20;

  /**
   * Above this, a stated use is no measurement. Processor time may exceed its share for a while.
   */
  private static final double MAX_STATED_USE = 3;

  private static final Duration MAX_AGE = Duration.ofSeconds(3);

  GatewayRooms {
    rooms = List.copyOf(rooms);
  }

  static GatewayRooms of(List<LoadedGateway> gateways) {
    double medianCores = median(gateways, GatewaySize::cores);
    double medianMbps = median(gateways, GatewaySize::linkMbps);
    return new GatewayRooms(
        gateways.stream()
            .map(
                loaded ->
                    new GatewayRoom(
                        loaded.gateway(),
                        Math.min(
                            relative(loaded.load().size().cores(), medianCores),
                            relative(loaded.load().size().linkMbps(), medianMbps)),
                        use(loaded)))
            .toList());
  }

  private static double median(
      List<LoadedGateway> gateways, ToDoubleFunction<GatewaySize> dimension) {
    double[] stated =
        gateways.stream()
            .map(loaded -> loaded.load().size())
            .mapToDouble(dimension)
            .filter(value -> Double.isFinite(value) && value > 0)
            .sorted()
            .toArray();
    return stated.length == 0 ? 0 : stated[stated.length / 2];
  }

  private static double relative(double value, double median) {
    double ratio = value / median;
    boolean isPlausible = ratio >= 1 / MAX_SIZE_RATIO && ratio <= MAX_SIZE_RATIO;
    return isPlausible ? ratio : 1;
  }

  private static OptionalDouble use(LoadedGateway loaded) {
    GatewayLoad load = loaded.load();
    if (load.use().isEmpty() || loaded.age().compareTo(MAX_AGE) > 0) {
      return OptionalDouble.empty();
    }
    double use = load.use().getAsDouble();
    return use >= 0 && use <= MAX_STATED_USE
        ? OptionalDouble.of(Math.min(1, use))
        : OptionalDouble.empty();
  }

  int size() {
    return rooms.size();
  }

  /** Returns whether the largest gateway is this many times as large as the smallest one. */
  boolean differBy(double ratio) {
    double smallest = rooms.stream().mapToDouble(GatewayRoom::capacity).min().orElse(1);
    double largest = rooms.stream().mapToDouble(GatewayRoom::capacity).max().orElse(1);
    return largest >= smallest * ratio;
  }

  /** Returns the gateways of a data centre. */
  GatewayRooms in(String dataCentre) {
    return filter(room -> room.dataCentre().equals(dataCentre));
  }

  /** Returns the gateways outside of a data centre. */
  GatewayRooms outside(String dataCentre) {
    return filter(room -> !room.dataCentre().equals(dataCentre));
  }

  private GatewayRooms filter(Predicate<GatewayRoom> predicate) {
    return new GatewayRooms(rooms.stream().filter(predicate).toList());
  }

  /** Returns the sum of the capacities. */
  double capacity() {
    return rooms.stream().mapToDouble(GatewayRoom::capacity).sum();
  }

  /** Returns the number of data centres. */
  long dataCentreCount() {
    return rooms.stream().map(GatewayRoom::dataCentre).distinct().count();
  }

  /** Returns the used fraction of all capacity whose use is known; empty if none is. */
  OptionalDouble meanUse() {
    List<GatewayRoom> known = rooms.stream().filter(room -> room.use().isPresent()).toList();
    double capacity = new GatewayRooms(known).capacity();
    return known.isEmpty()
        ? OptionalDouble.empty()
        : OptionalDouble.of(
            known.stream().mapToDouble(room -> room.capacity() * room.use().getAsDouble()).sum()
                / capacity);
  }
}
