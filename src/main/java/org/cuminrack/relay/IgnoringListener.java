package org.cuminrack.relay;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;

/** Listener for a request whose response is ignored. */
final class IgnoringListener implements UpstreamListener {

  @Override
  public void notSent(NotSentReason reason) {}

  @Override
  public void responseStarted(int status, HeaderMap headers) {}

  @Override
  public void bodyReceived(ByteBuffer bytes) {}

  @Override
  public void completed() {}

  @Override
  public void failed(String detail) {}
}
