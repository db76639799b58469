package org.cuminrack.admission;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * A request to be admitted to an upstream: a generation, or a plain call, which has no prompt.
 *
 * @param service the service that the request is for
 * @param organisation the organisation whose share the request counts against
 * @param fingerprint identifies resends of the same request
 * @param promptTokens length of the prompt in tokens; 0 for a plain call
 * @param prefixHashes hashes of the prompt's blocks in order, each covering all blocks before it;
 *     empty for a plain call
 * @param maxOutputTokens the caller's limit on output tokens; 0 for no limit
 * @param priority scheduling priority
 * @param attempt 1 for the first attempt; higher attempts draw on the retry budget
 * @param timeout time left until the response must begin
 * @param excludedUpstreams upstreams on which the request already failed
 */
public record AdmissionRequest(
    String service,
    String organisation,
    Fingerprint fingerprint,
    int promptTokens,
    List<Long> prefixHashes,
    int maxOutputTokens,
    Priority priority,
    int attempt,
    Duration timeout,
    Set<String> excludedUpstreams) {}
