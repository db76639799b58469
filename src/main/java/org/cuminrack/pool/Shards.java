package org.cuminrack.pool;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.zip.CRC32;
import org.cuminrack.config.ConfigKind;
import org.cuminrack.config.VersionedObject;
import org.cuminrack.member.ClusterView;
import org.cuminrack.member.EntryMember;

/**
 * Assigns the upstreams of a service in a data centre to pools. Every entry must compute the same
 * result, so it depends only on the upstream's name and the view.
 */
final class Shards {
  private static final int SHARDS_PER_DATA_CENTRE = 1;

  private Shards() {}

  static PoolKey poolOf(Announcement announcement) {
    CRC32 crc = new CRC32();
    crc.update(announcement.upstream().getBytes(StandardCharsets.UTF_8));
    int shard = (int) (crc.getValue() % SHARDS_PER_DATA_CENTRE);
    return new PoolKey(announcement.service(), announcement.dataCentre(), shard);
  }

  /** Returns every pool that a service may have. */
  static List<PoolKey> poolsOf(String service, ClusterView view) {
    List<PoolKey> pools = new ArrayList<>();
    for (String dataCentre : dataCentres(view)) {
      for (int shard = 0; shard < SHARDS_PER_DATA_CENTRE; shard++) {
        pools.add(new PoolKey(service, dataCentre, shard));
      }
    }
    return pools;
  }

  private static Collection<String> dataCentres(ClusterView view) {
    Set<String> names = new TreeSet<>();
    for (EntryMember each : view.members()) {
      names.add(each.dataCentre());
    }
    for (VersionedObject each : view.configuration().objects()) {
      if (each.object().kind() == ConfigKind.DATA_CENTRE) {
        names.add(each.object().name());
      }
    }
    return names;
  }
}
