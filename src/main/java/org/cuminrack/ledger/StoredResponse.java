package org.cuminrack.ledger;

import com.google.protobuf.ByteString;

/** The response to a call that ran, stored for resends. */
public record StoredResponse(int httpStatus, String contentType, ByteString body) {}
