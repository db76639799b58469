package org.cuminrack.system;

/**
 * The answer to an HTTP request, or its failure.
 *
 * @param status 0 if the request failed without an answer
 * @param body the error if the status is 0
 */
record PlainAnswer(int status, String body) {

  boolean reportsNotRun() {
    return body.contains("\"ran\":\"no\"");
  }
}
