package org.cuminrack.relay;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Counts the bytes read from a connection against a {@link ReadLimit} and checks them as a
 * response. All ways to read lead to {@link #read(ByteBuffer)}, so that no byte is left out.
 */
final class LimitedSourceConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
  private final ReadLimit limit;
  private final ResponseCheck check = new ResponseCheck();

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
      check.accept(buffer.duplicate().position(start).limit(start + count));
    }
    return count;
  }

  @Override
  public long read(ByteBuffer[] buffers, int offset, int length) throws IOException {
    for (int i = offset; i < offset + length; i++) {
      if (buffers[i].hasRemaining()) {
        return read(buffers[i]);
      }
    }
    return 0;
  }

  @Override
  public long transferTo(long position, long count, FileChannel target) throws IOException {
    return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
  }

  @Override
  public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
      throws IOException {
    return IoUtils.transfer(new ConduitReadableByteChannel(this), count, throughBuffer, target);
  }
}
