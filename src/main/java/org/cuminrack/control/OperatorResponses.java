package org.cuminrack.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cuminrack.generated.control.ChangeVerdict;
import org.cuminrack.generated.control.ConfigObjectData;
import org.cuminrack.generated.control.FetchReply;
import org.cuminrack.generated.control.InForceReply;
import org.cuminrack.generated.control.MemberStatus;
import org.cuminrack.generated.control.Verdict;
import org.cuminrack.generated.rollout.RolloutData;
import org.cuminrack.member.ControlFailure;
import org.cuminrack.rollout.VersionRollout;

/** Builds the JSON responses of the operator API, with fields in a fixed order. */
final class OperatorResponses {
  private static final String VERDICT = "verdict";
  private static final String REVISION = "revision";

  private OperatorResponses() {}

  static Map<String, Object> invalid(String detail) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put(VERDICT, "invalid");
    body.put("detail", detail);
    return body;
  }

  /** Returns the response if the leader could not be asked, or its answer did not arrive. */
  static Map<String, Object> unanswered(ControlFailure failure) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put(VERDICT, failure instanceof ControlFailure.Unknown ? "unknown" : "unavailable");
    body.put("detail", failure.detail());
    return body;
  }

  static Map<String, Object> of(ChangeVerdict verdict) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put(VERDICT, verdict.getVerdict().name().toLowerCase(Locale.ROOT).replace('_', '-'));
    if (verdict.getVerdict() == Verdict.ACCEPTED) {
      body.put(REVISION, verdict.getRevision());
    } else if (verdict.getVerdict() == Verdict.CONFLICT) {
      ConfigObjectData present = verdict.getPresent();
      body.put("key", ConfigCodec.key(present).toString());
      body.put("expected", verdict.getExpectedRevision());
      body.put("found", present.getRevision());
      body.put("present", ChangeBody.parseJson(present.getJson()));
    } else {
      body.put("detail", verdict.getDetail());
    }
    return body;
  }

  static Map<String, Object> configuration(FetchReply reply) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put(REVISION, reply.getRevision());
    body.put("objects", reply.getObjectsList().stream().map(OperatorResponses::object).toList());
    return body;
  }

  static Map<String, Object> inForce(long revision, InForceReply reply) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put(REVISION, revision);
    body.put("in_force", reply.getInForce());
    body.put("in_force_revision", reply.getInForceRevision());
    body.put("waiting_for", List.copyOf(reply.getWaitingForList()));
    return body;
  }

  static Map<String, Object> status(InForceReply reply) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("leader", reply.getLeader());
    body.put("term", reply.getTerm());
    body.put(REVISION, reply.getRevision());
    body.put("in_force_revision", reply.getInForceRevision());
    body.put("entries", reply.getMembersList().stream().map(OperatorResponses::entry).toList());
    if (reply.getRolloutsCount() > 0) {
      body.put(
          "rollouts", reply.getRolloutsList().stream().map(OperatorResponses::rollout).toList());
    }
    return body;
  }

  private static Map<String, Object> object(ConfigObjectData data) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("kind", data.getKind());
    body.put(REVISION, data.getRevision());
    body.put("object", ChangeBody.parseJson(data.getJson()));
    return body;
  }

  private static Map<String, Object> rollout(RolloutData data) {
    VersionRollout rollout = RolloutCodec.rollout(data);
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("service", rollout.service());
    body.put("from", rollout.from().stream().sorted().toList());
    body.put("to", rollout.to());
    body.put("stage", rollout.stage().name().toLowerCase(Locale.ROOT).replace('_', '-'));
    body.put("share", rollout.share());
    body.put("duration_ms", rollout.durationMillis());
    body.put("reason", rollout.reason());
    return body;
  }

  private static Map<String, Object> entry(MemberStatus status) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("name", status.getMember().getName());
    body.put("session", status.getMember().getSessionId());
    body.put("data_centre", status.getMember().getDataCentre());
    body.put("http_address", status.getMember().getHttpAddress());
    body.put("wire_address", status.getMember().getWireAddress());
    body.put("stopping", status.getMember().getStopping());
    body.put("acknowledged_revision", status.getAcknowledgedRevision());
    body.put("lease_left_millis", status.getLeaseLeftMillis());
    return body;
  }
}
