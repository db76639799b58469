package org.cuminrack.gateway;

import com.google.protobuf.ByteString;
import io.undertow.util.HeaderMap;

/** An engine's response that is not a stream. */
record RefusedResponse(int status, HeaderMap headers, ByteString body, boolean notExecuted) {}
