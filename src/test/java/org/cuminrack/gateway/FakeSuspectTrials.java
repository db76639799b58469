package org.cuminrack.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.admission.Fingerprint;

/** Answers each request for a trial with {@code outcome}, and keeps what it is asked. */
final class FakeSuspectTrials implements SuspectTrials {
  Outcome outcome = new Granted();
  int requests;
  List<Fingerprint> requested = List.of();
  final List<SuspectTrial> givenBack = new ArrayList<>();

  @Override
  public CompletableFuture<Outcome> request(SuspectTrial trial) {
    requests++;
    requested = trial.suspects();
    return CompletableFuture.completedFuture(outcome);
  }

  @Override
  public void giveBack(SuspectTrial trial) {
    givenBack.add(trial);
  }
}
