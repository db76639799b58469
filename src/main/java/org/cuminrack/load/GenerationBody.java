package org.cuminrack.load;

/** The body of a generation request. */
record GenerationBody(
    String model, String prompt, int maxTokens, String priority, boolean stream) {}
