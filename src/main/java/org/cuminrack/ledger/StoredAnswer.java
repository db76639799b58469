package org.cuminrack.ledger;

import com.google.protobuf.ByteString;

/** The answer of a call that ran, stored for resends. */
public record StoredAnswer(int httpStatus, String contentType, ByteString body) {}
