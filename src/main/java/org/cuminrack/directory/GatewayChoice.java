package org.cuminrack.directory;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.cuminrack.fleet.GatewayRecord;
import org.cuminrack.fleet.LoadedGateway;

/**
 * Chooses the gateways that an answer to a caller names. Callers choose among them at random, so a
 * gateway's load is set by how many answers name it: each is named in proportion to its free room.
 *
 * <p>An answer depends on the caller and on the phase of the time within the life of an answer. A
 * caller that asks again when its answer expires gets nearly the same one, whereas many callers
 * that can't be told apart ask at different phases, so that together they use each gateway with
 * room.
 */
public final class GatewayChoice {
  /** The most addresses of one answer. */
  public static final int MAX_ADDRESSES = 64;

  /** The least addresses of one answer, if there are so many gateways. */
  private static final int MIN_ADDRESSES = 8;

  /** Smaller differences of size are not worth answers that name a part of the gateways. */
  private static final double MIN_SIZE_RATIO = 1.25;

  /** How much of its weight a gateway loses that is fully used. */
  private static final double USE_WEIGHT = 0.75;

  private GatewayChoice() {}

  /**
   * Returns the gateways to name to a caller: all that serve if they are few and of about equal
   * size; else a choice.
   *
   * @param live the live gateways
   * @param nowMillis the wall-clock time, about the same at all control VMs
   * @param life how long callers keep an answer; some keep it for a multiple of that
   */
  public static List<GatewayRecord> choose(
      List<LoadedGateway> live, Caller caller, long nowMillis, Duration life) {
    GatewayRooms rooms =
        GatewayRooms.of(live.stream().filter(loaded -> loaded.gateway().serving()).toList());
    if (rooms.size() <= MAX_ADDRESSES && !rooms.differBy(MIN_SIZE_RATIO)) {
      return rooms.rooms().stream().map(GatewayRoom::gateway).toList();
    }
    Map<GatewayRoom, Double> weights = weights(rooms, caller);
    int count = addressCount(weights);
    double phase = (double) Math.floorMod(nowMillis, life.toMillis()) / life.toMillis();
    return weights.entrySet().stream()
        .map(entry -> new Turn(entry.getKey(), turn(entry, count, caller, phase)))
        .sorted(Comparator.comparingDouble(Turn::turn))
        .limit(count)
        .map(turn -> turn.room.gateway())
        .sorted(Comparator.comparing(GatewayRecord::vm))
        .toList();
  }

  /** Returns which share of the caller's requests each gateway should get; the sum is 1. */
  private static Map<GatewayRoom, Double> weights(GatewayRooms rooms, Caller caller) {
    GatewayRooms own = rooms.in(caller.dataCentre());
    GatewayRooms others = rooms.outside(caller.dataCentre());
    double localShare = LocalShare.of(own, others);
    Map<GatewayRoom, Double> weights = new HashMap<>();
    addWeights(weights, own, localShare);
    addWeights(weights, others, 1 - localShare);
    return weights;
  }

  private static void addWeights(
      Map<GatewayRoom, Double> weights, GatewayRooms rooms, double share) {
    OptionalDouble meanUse = rooms.meanUse();
    double sum = rooms.rooms().stream().mapToDouble(room -> freeRoom(room, meanUse)).sum();
    rooms.rooms().forEach(room -> weights.put(room, share * freeRoom(room, meanUse) / sum));
  }

  private static double freeRoom(GatewayRoom room, OptionalDouble meanUse) {
    double use = room.use().orElse(meanUse.orElse(0));
    return room.capacity() * (1 - USE_WEIGHT * use);
  }

  /** Returns the most addresses with which no gateway's weight exceeds the chance of an address. */
  private static int addressCount(Map<GatewayRoom, Double> weights) {
    double largest = weights.values().stream().mapToDouble(Double::doubleValue).max().orElse(1);
    int count = Math.max(MIN_ADDRESSES, (int) Math.floor(1 / largest + 1e-9));
    return Math.min(weights.size(), Math.min(MAX_ADDRESSES, count));
  }

  /**
   * Returns where a gateway stands in the order of a caller; those that come first are named. With
   * a uniform position, a gateway is named with about the chance {@code count * weight}; a change
   * of one weight moves hardly any other gateway in or out.
   */
  private static double turn(
      Map.Entry<GatewayRoom, Double> entry, int count, Caller caller, double phase) {
    double position =
        Positions.of(caller.dataCentre(), caller.key(), entry.getKey().gateway().vm());
    double rotated = (position + phase) % 1;
    return rotated / (count * entry.getValue());
  }

  private record Turn(GatewayRoom room, double turn) {}
}
