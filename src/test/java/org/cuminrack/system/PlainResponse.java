package org.cuminrack.system;

/**
 * The response to an HTTP request, or its failure.
 *
 * @param status 0 if the request failed without a response
 * @param body the error if the status is 0
 */
record PlainResponse(int status, String body) {

  boolean reportsNotRun() {
    return body.contains("\"ran\":\"no\"");
  }
}
