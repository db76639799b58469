package org.cuminrack.admission;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * A request that asks for an upstream.
 *
 * @param service the service it goes to
 * @param organisation whose share it counts against
 * @param fingerprint tells a resend of the same request
 * @param promptTokens length of the prompt; 0 for a plain call
 * @param prefixHashes hashes of the prompt's blocks, the first block first, each covering all
 *     before it; empty for a plain call
 * @param maxOutputTokens the caller's own bound; 0 where it named none
 * @param priority how urgent it is
 * @param attempt 1 for the first attempt; a higher one is drawn from the retry budget
 * @param timeout how long the caller still waits for the answer to begin
 * @param excludedUpstreams upstreams that already failed it
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
