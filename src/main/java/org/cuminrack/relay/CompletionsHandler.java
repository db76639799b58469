package org.cuminrack.relay;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.Methods;
import io.vavr.control.Either;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.admission.Priority;
import org.cuminrack.config.ServiceKind;
import org.cuminrack.http.Json;
import org.cuminrack.http.ProblemDocument;

/** Handles requests for new generations, and requests that resume one. */
final class CompletionsHandler {
  private final RelayContext context;

  CompletionsHandler(RelayContext context) {
    this.context = context;
  }

  void handle(CallerRequest caller) {
    Either<ProblemDocument, GenerationRequest> request = parse(caller);
    if (request.isLeft()) {
      caller.refuse(context, request.getLeft());
      return;
    }
    String lastEventId = caller.header(RelayHeaders.LAST_EVENT_ID);
    if (lastEventId == null) {
      new Generation(context, caller, request.get()).start();
    } else {
      resume(caller, request.get(), lastEventId);
    }
  }

  private void resume(CallerRequest caller, GenerationRequest request, String lastEventId) {
    Either<String, EventId> decoded =
        context.eventIds().decode(request.organisation(), lastEventId);
    if (decoded.isLeft()) {
      caller.refuse(context, context.problems().forbidden(decoded.getLeft()));
      return;
    }
    EventId id = decoded.get();
    if (!id.fingerprint().equals(request.fingerprint().hex())) {
      String detail = "Last-Event-ID: expected the body that the generation began with";
      caller.refuse(context, context.problems().forbidden(detail));
    } else {
      new ResumedGeneration(context, caller, request, id).start();
    }
  }

  private Either<ProblemDocument, GenerationRequest> parse(CallerRequest caller) {
    if (!caller.exchange().getRequestMethod().equals(Methods.POST)) {
      return Either.left(context.problems().badRequest("method: expected POST"));
    }
    return Json.readTree(caller.body().toByteArray())
        .mapLeft(detail -> context.problems().badRequest(detail))
        .flatMap(tree -> parse(caller, tree));
  }

  private Either<ProblemDocument, GenerationRequest> parse(CallerRequest caller, JsonNode tree) {
    if (!tree.path("model").isTextual()) {
      return Either.left(context.problems().badRequest("model: expected a route's name"));
    }
    if (!tree.path("prompt").isTextual()) {
      return Either.left(context.problems().badRequest("prompt: expected text"));
    }
    JsonNode maxTokens = tree.path("max_tokens");
    boolean isValidMaxTokens =
        maxTokens.isMissingNode() || (maxTokens.isInt() && maxTokens.intValue() > 0);
    if (!isValidMaxTokens) {
      return Either.left(
          context.problems().badRequest("max_tokens: expected a whole number above 0"));
    }
    String model = tree.path("model").textValue();
    return caller
        .route(context, model, ServiceKind.GENERATION)
        .flatMap(routed -> parse(caller, tree, routed));
  }

  private Either<ProblemDocument, GenerationRequest> parse(
      CallerRequest caller, JsonNode tree, CallerRequest.RoutedService routed) {
    Priority defaultPriority =
        routed.service().interactive() ? Priority.INTERACTIVE : Priority.STANDARD;
    JsonNode priorityNode = tree.path("priority");
    Priority priority =
        priorityNode.isMissingNode()
            ? defaultPriority
            : GenerationRequest.parsePriority(priorityNode.asText()).orElse(null);
    if (priority == null) {
      return Either.left(
          context.problems().badRequest("priority: expected \"interactive\" or \"standard\""));
    }
    String organisation = caller.organisation().name();
    String model = routed.route().name();
    return caller
        .deadlineNanos(context, routed.route())
        .map(
            deadlineNanos ->
                new GenerationRequest(
                    organisation,
                    model,
                    routed.service().name(),
                    tree.path("prompt").textValue(),
                    tree.path("max_tokens").asInt(0),
                    priority,
                    Fingerprint.of(organisation, model, caller.body().toByteArray()),
                    deadlineNanos));
  }
}
