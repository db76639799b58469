package org.cuminrack.relay;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Counts the bytes read from a connection against a {@link ReadLimit} and checks the head of the
 * response, which the client reads into a single buffer.
 */
final class LimitedSourceConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
  private final ReadLimit limit;
  private final ResponseHeadCheck headCheck = new ResponseHeadCheck();

  LimitedSourceConduit(StreamSourceConduit next, ReadLimit limit) {
    super(next);
    this.limit = limit;
  }

  @Override
  public int read(ByteBuffer buffer) throws IOException {
    int start = buffer.position();
    int count = super.read(buffer);
    limit.recordRead(count);
    if (count > 0) {
      headCheck.accept(buffer.duplicate().position(start).limit(start + count));
    }
    return count;
  }

  @Override
  public long read(ByteBuffer[] buffers, int offset, int length) throws IOException {
    long count = super.read(buffers, offset, length);
    limit.recordRead(count);
    return count;
  }

  @Override
  public long transferTo(long position, long count, FileChannel target) throws IOException {
    long transferred = super.transferTo(position, count, target);
    limit.recordRead(transferred);
    return transferred;
  }

  @Override
  public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
      throws IOException {
    long transferred = super.transferTo(count, throughBuffer, target);
    limit.recordRead(transferred);
    return transferred;
  }
}
