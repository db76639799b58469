package org.cuminrack.sharing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminrack.gateway.UpstreamLoad;
import org.cuminrack.generated.board.BoardCall;

/** What a board is known to have learned from this gateway, by its answer to a call. */
record ToldState(long number, OwnState state) {

  /**
   * Adds the loads of a state to a call: the changes since this one, or all if nothing is known to
   * have been told. All are sent as well if there were none, since the board may have forgotten.
   */
  static void addLoads(BoardCall.Builder call, ToldState told, OwnState state) {
    if (told == null || told.state.loads().isEmpty()) {
      state.loads().forEach((id, load) -> call.addLoads(BoardCodec.data(id, load)));
      return;
    }
    call.setBaseNumber(told.number);
    Map<String, UpstreamLoad> before = new HashMap<>(told.state.loads());
    state
        .loads()
        .forEach(
            (id, load) -> {
              if (!load.equals(before.remove(id))) {
                call.addLoads(BoardCodec.data(id, load));
              }
            });
    List<String> ended = new ArrayList<>(before.keySet());
    ended.forEach(id -> call.addLoads(BoardCodec.data(id, UpstreamLoad.NONE)));
  }
}
