package org.cuminrack.quorum.internal;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/**
 * The replicas that vote. While one replica replaces another, the set is joint: each decision needs
 * a majority of the previous voters and a majority of the new ones.
 *
 * @param incarnations the voters' incarnations by VM name
 * @param previous the previous voters' incarnations by VM name; empty unless the set is joint
 */
public record VoterSet(Map<String, Long> incarnations, Map<String, Long> previous) {
  private static final String SET_SEPARATOR = "/";
  private static final String MEMBER_SEPARATOR = ",";
  private static final String INCARNATION_SEPARATOR = "=";

  public VoterSet {
    incarnations = new TreeMap<>(incarnations);
    previous = new TreeMap<>(previous);
  }

  /** Returns a voter set that is not joint. */
  public static VoterSet of(Map<String, Long> incarnations) {
    return new VoterSet(incarnations, Map.of());
  }

  /** Returns whether a voter is being replaced. */
  public boolean isJoint() {
    return !previous.isEmpty();
  }

  /** Returns the joint set in which a replica replaces the voter of its own or another VM. */
  public VoterSet replacing(String lostVm, ReplicaId replica) {
    Map<String, Long> after = new TreeMap<>(incarnations);
    after.remove(lostVm);
    after.put(replica.vmName(), replica.incarnation());
    return new VoterSet(after, incarnations);
  }

  /** Returns the set after the replacement. */
  public VoterSet completed() {
    return of(incarnations);
  }

  /** Returns whether a replica is a current or previous voter. */
  public boolean contains(ReplicaId replica) {
    return containsReplica(incarnations, replica) || containsReplica(previous, replica);
  }

  /** Returns all current and previous voters. */
  public Set<ReplicaId> replicas() {
    Set<ReplicaId> all = new LinkedHashSet<>(members(incarnations));
    all.addAll(members(previous));
    return all;
  }

  /** Returns whether the voters that satisfy the condition form a quorum. */
  public boolean hasQuorum(Predicate<ReplicaId> condition) {
    return hasMajority(members(incarnations), condition)
        && (!isJoint() || hasMajority(members(previous), condition));
  }

  /** Returns the highest value that a quorum of voters has reached. */
  public long valueReachedByQuorum(ToLongFunction<ReplicaId> value) {
    long current = valueReachedByMajority(members(incarnations), value);
    return isJoint()
        ? Math.min(current, valueReachedByMajority(members(previous), value))
        : current;
  }

  /** Encodes the set as bytes. */
  public byte[] encode() {
    String text = format(incarnations) + SET_SEPARATOR + format(previous);
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Decodes the output of {@link #encode()}. */
  public static VoterSet decode(byte[] bytes) {
    String[] parts = new String(bytes, StandardCharsets.UTF_8).split(SET_SEPARATOR, -1);
    if (parts.length != 2) {
      throw new IllegalArgumentException("voter set: expected 2 parts, found " + parts.length);
    }
    return new VoterSet(parse(parts[0]), parse(parts[1]));
  }

  private static boolean containsReplica(Map<String, Long> members, ReplicaId replica) {
    Long incarnation = members.get(replica.vmName());
    return incarnation != null && incarnation == replica.incarnation();
  }

  private static Set<ReplicaId> members(Map<String, Long> members) {
    return members.entrySet().stream()
        .map(member -> new ReplicaId(member.getKey(), member.getValue()))
        .collect(Collectors.toCollection(LinkedHashSet::new));
  }

  private static boolean hasMajority(
      Collection<ReplicaId> members, Predicate<ReplicaId> condition) {
    return members.stream().filter(condition).count() > members.size() / 2;
  }

  private static long valueReachedByMajority(
      Collection<ReplicaId> members, ToLongFunction<ReplicaId> value) {
    long[] sorted = members.stream().mapToLong(value).sorted().toArray();
    return sorted[(sorted.length - 1) / 2];
  }

  private static String format(Map<String, Long> members) {
    return members.entrySet().stream()
        .map(
            member -> member.getKey() + INCARNATION_SEPARATOR + Long.toHexString(member.getValue()))
        .collect(Collectors.joining(MEMBER_SEPARATOR));
  }

  private static Map<String, Long> parse(String text) {
    Map<String, Long> members = new TreeMap<>();
    for (String member : text.isEmpty() ? new String[0] : text.split(MEMBER_SEPARATOR, -1)) {
      int separatorIndex = member.lastIndexOf(INCARNATION_SEPARATOR);
      members.put(
          member.substring(0, separatorIndex),
          Long.parseUnsignedLong(member.substring(separatorIndex + 1), 16));
    }
    return members;
  }
}
