package org.cuminrack.system;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** How a caller gives up a request that is in progress. */
public enum CallerLeave {
  CLOSE {
    @Override
    public void leave(Socket caller) throws IOException {
      caller.close();
    }
  },
  RESET {
    @Override
    public void leave(Socket caller) throws IOException {
      caller.setSoLinger(true, 0);
      caller.close();
    }
  },
  CLOSE_AFTER_BYTES_OF_A_NEXT_REQUEST {
    @Override
    public void leave(Socket caller) throws IOException {
      caller.getOutputStream().write("GET /read/next HT".getBytes(StandardCharsets.UTF_8));
      caller.close();
    }
  },
  /** The caller waits until the other side has ended the request and the connection. */
  DEADLINE {
    @Override
    public void leave(Socket caller) throws IOException {
      caller.getInputStream().readAllBytes();
    }
  };

  public abstract void leave(Socket caller) throws IOException;
}
