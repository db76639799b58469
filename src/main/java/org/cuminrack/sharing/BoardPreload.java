package org.cuminrack.sharing;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Set;
import org.cuminrack.generated.board.BoardAnswer;
import org.cuminrack.generated.board.BoardCall;
import org.cuminrack.generated.board.BoardLimitData;
import org.cuminrack.generated.board.BoardLoadData;
import org.cuminrack.time.Clock;

/**
 * Loads the classes of the exchange with boards before the first call, which would take longer than
 * the callers of a board wait.
 */
final class BoardPreload {
  private BoardPreload() {}

  /** Plays one call and its answer. */
  static void run(Clock clock) {
    BoardCall call =
        BoardCall.newBuilder()
            .setVm("preload")
            .setNumber(1)
            .addLoads(BoardLoadData.newBuilder().setId("preload").setRequests(1))
            .addLimits(BoardLimitData.newBuilder().setId("preload"))
            .build();
    Board board = Board.ofFirstPool("preload", 1, Set::of, clock);
    try {
      BoardAnswer answer = board.handle(BoardCall.parseFrom(call.toByteArray()));
      BoardAnswer unused = BoardAnswer.parseFrom(answer.toByteArray());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }
}
