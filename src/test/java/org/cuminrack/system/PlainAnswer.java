package org.cuminrack.system;

/**
 * A complete HTTP answer.
 *
 * @param status 0 if the request failed without an answer
 */
record PlainAnswer(int status, String body) {

  boolean reportsNotRun() {
    return body.contains("\"ran\":\"no\"");
  }
}
