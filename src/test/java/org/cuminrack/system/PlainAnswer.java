package org.cuminrack.system;

/**
 * A whole answer.
 *
 * @param status 0 where none came
 */
record PlainAnswer(int status, String body) {

  boolean saysNotRun() {
    return body.contains("\"ran\":\"no\"");
  }
}
