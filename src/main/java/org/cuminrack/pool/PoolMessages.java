package org.cuminrack.pool;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.admission.Priority;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.admission.TicketOutcome;
import org.cuminrack.generated.pool.AdmitCall;
import org.cuminrack.generated.pool.AnnouncementMessage;
import org.cuminrack.generated.pool.PoolDigestMessage;
import org.cuminrack.generated.pool.PoolId;
import org.cuminrack.generated.pool.Refusal;
import org.cuminrack.generated.pool.RequestFacts;
import org.cuminrack.generated.pool.ReturnCall;

/** Converts pool records to and from wire messages. */
final class PoolMessages {
  private PoolMessages() {}

  static PoolId message(PoolKey key) {
    return PoolId.newBuilder()
        .setService(key.service())
        .setDataCentre(key.dataCentre())
        .setShard(key.shard())
        .build();
  }

  static PoolKey key(PoolId message) {
    return new PoolKey(message.getService(), message.getDataCentre(), message.getShard());
  }

  static AdmitCall admitCall(
      PoolKey pool, RequestKey requestKey, AdmissionRequest request, Duration timeout) {
    return AdmitCall.newBuilder()
        .setPool(message(pool))
        .setSession(requestKey.session())
        .setRequest(requestKey.request())
        .setFacts(facts(request))
        .setTimeoutMillis((int) Math.min(Integer.MAX_VALUE, timeout.toMillis()))
        .addAllExcludedUpstreams(request.excludedUpstreams())
        .build();
  }

  static AdmissionRequest request(AdmitCall call) {
    Duration timeout = Duration.ofMillis(call.getTimeoutMillis());
    Set<String> excluded = Set.copyOf(call.getExcludedUpstreamsList());
    return request(call.getPool().getService(), call.getFacts(), timeout, excluded);
  }

  static RequestFacts facts(AdmissionRequest request) {
    return RequestFacts.newBuilder()
        .setOrganisation(request.organisation())
        .setFingerprint(request.fingerprint().hex())
        .setPromptTokens(request.promptTokens())
        .addAllPrefixHashes(request.prefixHashes())
        .setMaxOutputTokens(request.maxOutputTokens())
        .setInteractive(request.priority() == Priority.INTERACTIVE)
        .setAttempt(request.attempt())
        .build();
  }

  static AdmissionRequest request(
      String service, RequestFacts facts, Duration timeout, Set<String> excluded) {
    return new AdmissionRequest(
        service,
        facts.getOrganisation(),
        new Fingerprint(facts.getFingerprint()),
        facts.getPromptTokens(),
        List.copyOf(facts.getPrefixHashesList()),
        facts.getMaxOutputTokens(),
        priority(facts.getInteractive()),
        facts.getAttempt(),
        timeout,
        excluded);
  }

  static Priority priority(boolean interactive) {
    return interactive ? Priority.INTERACTIVE : Priority.STANDARD;
  }

  static Refusal refusal(RefusalReason reason, Duration retryAfter) {
    return Refusal.newBuilder()
        .setReason(reason.name())
        .setRetryAfterMillis((int) retryAfter.toMillis())
        .build();
  }

  static ReturnCall returnCall(
      PoolKey pool, RequestKey requestKey, long ticketId, TicketOutcome outcome) {
    return ReturnCall.newBuilder()
        .setPool(message(pool))
        .setSession(requestKey.session())
        .setRequest(requestKey.request())
        .setTicket(ticketId)
        .setResult(outcome.result().name())
        .setOutputTokens(outcome.outputTokens())
        .setFirstTokenNanos(outcome.firstTokenAfter().toNanos())
        .build();
  }

  static TicketOutcome outcome(ReturnCall call) {
    return new TicketOutcome(
        TicketOutcome.Result.valueOf(call.getResult()),
        call.getOutputTokens(),
        Duration.ofNanos(call.getFirstTokenNanos()));
  }

  static PoolDigestMessage message(PoolSummary summary) {
    return PoolDigestMessage.newBuilder()
        .setPool(message(summary.pool()))
        .setFreePlaces(summary.freePlaces())
        .setLimit(summary.limit())
        .setWaitMillis(summary.waitMillis())
        .setAvailableUpstreams(summary.availableUpstreams())
        .build();
  }

  static PoolSummary summary(PoolDigestMessage message) {
    return new PoolSummary(
        key(message.getPool()),
        message.getFreePlaces(),
        message.getLimit(),
        message.getWaitMillis(),
        message.getAvailableUpstreams());
  }

  static AnnouncementMessage message(Announcement announcement) {
    return AnnouncementMessage.newBuilder()
        .setUpstream(announcement.upstream())
        .setBootId(announcement.bootId())
        .setDataCentre(announcement.dataCentre())
        .setService(announcement.service())
        .setAddress(announcement.address())
        .setColdLimit(announcement.coldLimit())
        .setWarmLimit(announcement.warmLimit())
        .setMemoryTokens(announcement.memoryTokens())
        .setChecksFencing(announcement.checksFencing())
        .setModel(orEmpty(announcement.model()))
        .setVersion(orEmpty(announcement.version()))
        .build();
  }

  static Announcement announcement(AnnouncementMessage message) {
    return new Announcement(
        message.getUpstream(),
        message.getBootId(),
        message.getDataCentre(),
        message.getService(),
        message.getAddress(),
        message.getColdLimit(),
        message.getWarmLimit(),
        message.getMemoryTokens(),
        message.getChecksFencing(),
        message.getModel(),
        message.getVersion());
  }

  private static String orEmpty(String text) {
    return text == null ? "" : text;
  }
}
