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
 * Who votes. While one replica replaces another the set is joint: each decision needs a majority of
 * the voters before and of the voters after.
 *
 * @param incarnations the voters' incarnations by VM name
 * @param previous the voters before, by VM name; empty unless the set is joint
 */
public record VoterSet(Map<String, Long> incarnations, Map<String, Long> previous) {
  private static final String GROUPS = "/";
  private static final String MEMBERS = ",";
  private static final String PARTS = "=";

  public VoterSet {
    incarnations = new TreeMap<>(incarnations);
    previous = new TreeMap<>(previous);
  }

  /** Returns a set of voters that isn't joint. */
  public static VoterSet of(Map<String, Long> incarnations) {
    return new VoterSet(incarnations, Map.of());
  }

  /** Tells whether one voter is being replaced. */
  public boolean isJoint() {
    return !previous.isEmpty();
  }

  /** Returns the joint set in which a replica replaces the voter of a VM, its own or another. */
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

  /** Tells whether a replica votes, be it only before or after a replacement. */
  public boolean contains(ReplicaId replica) {
    return holds(incarnations, replica) || holds(previous, replica);
  }

  /** Returns all who vote, before or after a replacement. */
  public Set<ReplicaId> replicas() {
    Set<ReplicaId> all = new LinkedHashSet<>(members(incarnations));
    all.addAll(members(previous));
    return all;
  }

  /** Tells whether those who satisfy the condition are a quorum. */
  public boolean hasQuorum(Predicate<ReplicaId> condition) {
    return majority(members(incarnations), condition)
        && (!isJoint() || majority(members(previous), condition));
  }

  /** Returns the highest value that a quorum has reached. */
  public long reachedByQuorum(ToLongFunction<ReplicaId> value) {
    long now = reachedByMajority(members(incarnations), value);
    return isJoint() ? Math.min(now, reachedByMajority(members(previous), value)) : now;
  }

  /** Writes the set as bytes. */
  public byte[] encode() {
    String text = format(incarnations) + GROUPS + format(previous);
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Reads what {@link #encode()} wrote. */
  public static VoterSet decode(byte[] bytes) {
    String[] groups = new String(bytes, StandardCharsets.UTF_8).split(GROUPS, -1);
    if (groups.length != 2) {
      throw new IllegalArgumentException("voter set: expected 2 groups, found " + groups.length);
    }
    return new VoterSet(parse(groups[0]), parse(groups[1]));
  }

  private static boolean holds(Map<String, Long> members, ReplicaId replica) {
    Long incarnation = members.get(replica.vmName());
    return incarnation != null && incarnation == replica.incarnation();
  }

  private static Set<ReplicaId> members(Map<String, Long> members) {
    return members.entrySet().stream()
        .map(each -> new ReplicaId(each.getKey(), each.getValue()))
        .collect(Collectors.toCollection(LinkedHashSet::new));
  }

  private static boolean majority(Collection<ReplicaId> members, Predicate<ReplicaId> condition) {
    return members.stream().filter(condition).count() > members.size() / 2;
  }

  private static long reachedByMajority(
      Collection<ReplicaId> members, ToLongFunction<ReplicaId> value) {
    long[] sorted = members.stream().mapToLong(value).sorted().toArray();
    return sorted[(sorted.length - 1) / 2];
  }

  private static String format(Map<String, Long> members) {
    return members.entrySet().stream()
        .map(each -> each.getKey() + PARTS + Long.toHexString(each.getValue()))
        .collect(Collectors.joining(MEMBERS));
  }

  private static Map<String, Long> parse(String text) {
    Map<String, Long> members = new TreeMap<>();
    for (String member : text.isEmpty() ? new String[0] : text.split(MEMBERS, -1)) {
      int cut = member.lastIndexOf(PARTS);
      members.put(member.substring(0, cut), Long.parseUnsignedLong(member.substring(cut + 1), 16));
    }
    return members;
  }
}
