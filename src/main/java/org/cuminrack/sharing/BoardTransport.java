package org.cuminrack.sharing;

import java.util.Optional;
import java.util.function.Consumer;
import org.cuminrack.fleet.GatewayRecord;
import org.cuminrack.generated.board.BoardAnswer;
import org.cuminrack.generated.board.BoardCall;

/** Carries calls to boards. */
@FunctionalInterface
interface BoardTransport {

  /**
   * Calls a board.
   *
   * @param onResult receives the answer, or nothing if there is none; runs later on the caller's
   *     thread, never before this method returns
   */
  void call(GatewayRecord board, BoardCall call, Consumer<Optional<BoardAnswer>> onResult);
}
