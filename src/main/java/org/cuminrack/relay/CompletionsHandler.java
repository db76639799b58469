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
    Either<ProblemDocument, GenerationRequest> request = read(caller);
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
    Either<String, EventId> read = context.eventIds().decode(request.organisation(), lastEventId);
    if (read.isLeft()) {
      caller.refuse(context, context.refusals().forbidden(read.getLeft()));
      return;
    }
    EventId id = read.get();
    if (!id.fingerprint().equals(request.fingerprint().hex())) {
      String detail = "Last-Event-ID: expected the body that the generation began with";
      caller.refuse(context, context.refusals().forbidden(detail));
    } else {
      new ResumedGeneration(context, caller, request, id).start();
    }
  }

  private Either<ProblemDocument, GenerationRequest> read(CallerRequest caller) {
    if (!caller.exchange().getRequestMethod().equals(Methods.POST)) {
      return Either.left(context.refusals().badRequest("method: expected POST"));
    }
    return Json.readTree(caller.body().toByteArray())
        .mapLeft(detail -> context.refusals().badRequest(detail))
        .flatMap(tree -> read(caller, tree));
  }

  private Either<ProblemDocument, GenerationRequest> read(CallerRequest caller, JsonNode tree) {
    if (!tree.path("model").isTextual()) {
      return Either.left(context.refusals().badRequest("model: expected a route's name"));
    }
    if (!tree.path("prompt").isTextual()) {
      return Either.left(context.refusals().badRequest("prompt: expected text"));
    }
    JsonNode maxTokens = tree.path("max_tokens");
    boolean validMax = maxTokens.isMissingNode() || (maxTokens.isInt() && maxTokens.intValue() > 0);
    if (!validMax) {
      return Either.left(
          context.refusals().badRequest("max_tokens: expected a whole number above 0"));
    }
    String model = tree.path("model").textValue();
    return caller
        .route(context, model, ServiceKind.GENERATION)
        .flatMap(routed -> read(caller, tree, routed));
  }

  private Either<ProblemDocument, GenerationRequest> read(
      CallerRequest caller, JsonNode tree, CallerRequest.RoutedService routed) {
    Priority defaultPriority =
        routed.service().interactive() ? Priority.INTERACTIVE : Priority.STANDARD;
    JsonNode requested = tree.path("priority");
    Priority priority =
        requested.isMissingNode()
            ? defaultPriority
            : GenerationRequest.priority(requested.asText()).orElse(null);
    if (priority == null) {
      return Either.left(
          context.refusals().badRequest("priority: expected \"interactive\" or \"standard\""));
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
