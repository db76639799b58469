package org.cuminrack.pool;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32;
import org.cuminrack.member.ClusterView;
import org.cuminrack.member.EntryMember;

/**
 * Determines the owner of a pool: the entry with the highest rendezvous hash among those in the
 * pool's data centre or, if there are none, among all. Stopping members own no pools. As the hash
 * depends only on pool and session, when a member joins or leaves, only the pools that it gains or
 * loses change owner.
 */
final class PoolOwnership {
  // Multipliers of the SplitMix64 finaliser.
  private static final long MIX_A = 0xbf58476d1ce4e5b9L;
  private static final long MIX_B = 0x94d049bb133111ebL;

  private PoolOwnership() {}

  static Optional<EntryMember> ownerOf(PoolKey pool, ClusterView view) {
    List<EntryMember> eligible = view.members().stream().filter(each -> !each.stopping()).toList();
    List<EntryMember> sameDataCentre =
        eligible.stream().filter(each -> each.dataCentre().equals(pool.dataCentre())).toList();
    List<EntryMember> candidates = sameDataCentre.isEmpty() ? eligible : sameDataCentre;
    EntryMember owner = null;
    long highest = 0;
    for (EntryMember each : candidates) {
      long score = score(pool, each.sessionId());
      if (owner == null || Long.compareUnsigned(score, highest) > 0) {
        owner = each;
        highest = score;
      }
    }
    return Optional.ofNullable(owner);
  }

  private static long score(PoolKey pool, long session) {
    CRC32 crc = new CRC32();
    crc.update(pool.name().getBytes(StandardCharsets.UTF_8));
    long mixed = crc.getValue() * MIX_A ^ session;
    mixed = (mixed ^ (mixed >>> 30)) * MIX_A;
    mixed = (mixed ^ (mixed >>> 27)) * MIX_B;
    return mixed ^ (mixed >>> 31);
  }
}
