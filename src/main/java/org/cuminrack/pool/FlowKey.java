package org.cuminrack.pool;

import org.cuminrack.admission.Priority;

/** Identifies a flow: the requests of one organisation with one priority. */
record FlowKey(String organisation, Priority priority) {}
