package org.cuminrack.control;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Lets a new leader know when entries last renewed their leases. A leader tells a majority of
 * voters of each renewal before it grants the renewal, and a new leader asks a majority: any two
 * majorities share a voter, so no granted renewal is missed.
 */
public interface RenewalExchange {

  /**
   * Tells the other voters of renewals; completes with true once a majority of voters knows them.
   *
   * @param term the term of this leader
   * @param ageBySession the time since each renewal, by session id
   */
  CompletableFuture<Boolean> share(long term, Map<Long, Duration> ageBySession);

  /**
   * Asks the voters, as the leader of a term, for the renewals that they know. Completes with the
   * time of each session's last renewal on this VM's clock, never earlier than it was; empty if no
   * majority knows all renewals that may still matter.
   */
  CompletableFuture<Optional<Map<Long, Long>>> lastRenewalNanos(long term);

  /** Notices changes of the voters; called periodically. */
  void tick();

  /** Returns an exchange with no other voters, which knows nothing. */
  static RenewalExchange none() {
    return new RenewalExchange() {
      @Override
      public CompletableFuture<Boolean> share(long term, Map<Long, Duration> ageBySession) {
        return CompletableFuture.completedFuture(true);
      }

      @Override
      public CompletableFuture<Optional<Map<Long, Long>>> lastRenewalNanos(long term) {
        return CompletableFuture.completedFuture(Optional.empty());
      }

      @Override
      public void tick() {}
    };
  }
}
