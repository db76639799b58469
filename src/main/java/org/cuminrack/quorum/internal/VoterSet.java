package org.cuminrack.quorum.internal;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/**
 * The replicas that vote. While voters are added or replaced, the set is joint: each decision needs
 * a majority of the previous voters and a majority of the new ones.
 *
 * @param incarnations the voters' incarnations by VM name
 * @param previous the previous voters' incarnations by VM name; empty unless the set is joint
 * @param dataCentres the data centres of current and previous voters by VM name, if known
 */
public record VoterSet(
    Map<String, Long> incarnations, Map<String, Long> previous, Map<String, String> dataCentres) {
  private static final String SET_SEPARATOR = "/";
  private static final String MEMBER_SEPARATOR = ",";
  private static final String INCARNATION_SEPARATOR = "=";
  private static final String DATA_CENTRE_SEPARATOR = "@";
  private static final String UNKNOWN_DATA_CENTRE = "";

  public VoterSet {
    incarnations = new TreeMap<>(incarnations);
    previous = new TreeMap<>(previous);
    dataCentres = new TreeMap<>(dataCentres);
    dataCentres.values().removeIf(UNKNOWN_DATA_CENTRE::equals);
    dataCentres.keySet().removeIf(isNotIn(incarnations).and(isNotIn(previous)));
  }

  private static Predicate<String> isNotIn(Map<String, Long> members) {
    return vmName -> !members.containsKey(vmName);
  }

  /** Returns a voter set that is not joint, of VMs in unknown data centres. */
  public static VoterSet of(Map<String, Long> incarnations) {
    return of(incarnations, Map.of());
  }

  /**
   * Returns a voter set that is not joint.
   *
   * @param dataCentres the voters' data centres by VM name, if known
   */
  public static VoterSet of(Map<String, Long> incarnations, Map<String, String> dataCentres) {
    return new VoterSet(incarnations, Map.of(), dataCentres);
  }

  /** Returns whether voters are being added or replaced. */
  public boolean isJoint() {
    return !previous.isEmpty();
  }

  /** Returns the joint set in which a replica replaces the voter of its own or another VM. */
  public VoterSet replacing(String lostVm, ReplicaId replica, String dataCentre) {
    Map<String, Long> after = new TreeMap<>(incarnations);
    after.remove(lostVm);
    after.put(replica.vmName(), replica.incarnation());
    return new VoterSet(after, incarnations, dataCentresWith(replica, dataCentre));
  }

  /** Returns the joint set to which a replica of another VM is added. */
  public VoterSet adding(ReplicaId replica, String dataCentre) {
    Map<String, Long> after = new TreeMap<>(incarnations);
    after.put(replica.vmName(), replica.incarnation());
    return new VoterSet(
        after, isJoint() ? previous : incarnations, dataCentresWith(replica, dataCentre));
  }

  private Map<String, String> dataCentresWith(ReplicaId replica, String dataCentre) {
    Map<String, String> all = new TreeMap<>(dataCentres);
    if (!dataCentre.equals(UNKNOWN_DATA_CENTRE)) {
      all.put(replica.vmName(), dataCentre);
    }
    return all;
  }

  /** Returns the set after the change. */
  public VoterSet completed() {
    return of(incarnations, dataCentres);
  }

  /** Returns the number of voters, without the previous ones. */
  public int size() {
    return incarnations.size();
  }

  /** Returns the data centre of each voter, without the previous ones; empty where unknown. */
  public List<String> voterDataCentres() {
    return incarnations.keySet().stream().map(this::dataCentreOf).toList();
  }

  /** Returns the data centre of a VM; empty if unknown. */
  public String dataCentreOf(String vmName) {
    return dataCentres.getOrDefault(vmName, UNKNOWN_DATA_CENTRE);
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
    Map<String, String> dataCentres = new TreeMap<>();
    Map<String, Long> incarnations = parse(parts[0], dataCentres);
    return new VoterSet(incarnations, parse(parts[1], dataCentres), dataCentres);
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

  private String format(Map<String, Long> members) {
    return members.entrySet().stream()
        .map(member -> format(member.getKey(), member.getValue()))
        .collect(Collectors.joining(MEMBER_SEPARATOR));
  }

  private String format(String vmName, long incarnation) {
    String member = vmName + INCARNATION_SEPARATOR + Long.toHexString(incarnation);
    String dataCentre = dataCentreOf(vmName);
    return dataCentre.equals(UNKNOWN_DATA_CENTRE)
        ? member
        : member + DATA_CENTRE_SEPARATOR + URLEncoder.encode(dataCentre, StandardCharsets.UTF_8);
  }

  private static Map<String, Long> parse(String text, Map<String, String> dataCentres) {
    Map<String, Long> members = new TreeMap<>();
    for (String member : text.isEmpty() ? new String[0] : text.split(MEMBER_SEPARATOR, -1)) {
      int incarnationIndex = member.lastIndexOf(INCARNATION_SEPARATOR);
      String vmName = member.substring(0, incarnationIndex);
      String[] incarnationAndDataCentre =
          member.substring(incarnationIndex + 1).split(DATA_CENTRE_SEPARATOR, 2);
      members.put(vmName, Long.parseUnsignedLong(incarnationAndDataCentre[0], 16));
      if (incarnationAndDataCentre.length == 2) {
        dataCentres.put(
            vmName, URLDecoder.decode(incarnationAndDataCentre[1], StandardCharsets.UTF_8));
      }
    }
    return members;
  }
}
