package org.cuminrack.relay;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;

/** Listener for a request whose response is ignored. */
final class IgnoredResponse implements UpstreamListener {

  @Override
  public void notSent(NotSent reason) {}

  @Override
  public void answered(int status, HeaderMap headers) {}

  @Override
  public void received(ByteBuffer bytes) {}

  @Override
  public void completed() {}

  @Override
  public void broken(String detail) {}
}
