package org.cuminrack.pool;

import org.cuminrack.admission.Priority;

/** The requests of one priority that one organisation sends. */
record FlowKey(String organisation, Priority priority) {}
