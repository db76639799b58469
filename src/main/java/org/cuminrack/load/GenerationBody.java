package org.cuminrack.load;

/** The body of a caller's request for a generation. */
record GenerationBody(
    String model, String prompt, int maxTokens, String priority, boolean stream) {}
