package org.cuminrack.http;

import io.undertow.client.ClientCallback;
import java.io.IOException;
import java.util.function.Consumer;

/** Creates callbacks of the HTTP client. */
public final class ClientCallbacks {
  private ClientCallbacks() {}

  /** Returns a callback that passes a result or a failure on. */
  public static <T> ClientCallback<T> of(Consumer<T> onSuccess, Consumer<IOException> onFailure) {
    return new ClientCallback<>() {
      @Override
      public void completed(T result) {
        onSuccess.accept(result);
      }

      @Override
      public void failed(IOException cause) {
        onFailure.accept(cause);
      }
    };
  }
}
