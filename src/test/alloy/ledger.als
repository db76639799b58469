/*
 * Claims of calls that may not be repeated.
 *
 * Control holds one record a key. A claim (token) belongs to one session; its answer may be lost.
 * A sender that was granted a claim may be suspended for as long as it likes before it sends. The
 * session may end meanwhile; the sender does not learn of it. Sends are never taken back.
 */
module ledger

enum State { Free, Claimed, Done, NotRun, Lost }

sig Session {}

sig Token {
  session: one Session,
}

one sig Control {
  var state: one State,
  var holder: lone Token,
  // Tokens that were given back before or after they were used in a claim.
  var givenBack: set Token,
  var ended: set Session
}

one sig World {
  // Tokens whose sender knows that the call is granted to it.
  var granted: set Token,
  // Tokens whose sender has given the call up: it told its caller "not run" and will not send.
  var abandoned: set Token,
  // Tokens under which the call was sent, and so may have run; each send counts once.
  var sent: set Token,
  // Tokens whose caller was told that the call was not run.
  var toldNotRun: set Token
}

fact init {
  Control.state = Free
  no Control.holder
  no Control.givenBack
  no Control.ended
  no World.granted
  no World.abandoned
  no World.sent
  no World.toldNotRun
}

pred controlSame {
  Control.state' = Control.state
  Control.holder' = Control.holder
  Control.givenBack' = Control.givenBack
  Control.ended' = Control.ended
}

pred worldSame {
  World.granted' = World.granted
  World.abandoned' = World.abandoned
  World.sent' = World.sent
  World.toldNotRun' = World.toldNotRun
}

pred stutter {
  controlSame
  worldSame
}

pred claimable[t: Token] {
  t not in Control.givenBack
  t.session not in Control.ended
  Control.state in Free + NotRun
  // A resend of an ended claim gets the verdict of that claim, not a new grant.
  Control.holder != t
}

// The command is committed; nobody has heard the answer yet.
pred commitClaim[t: Token] {
  claimable[t]
  Control.state' = Claimed
  Control.holder' = t
  Control.givenBack' = Control.givenBack
  Control.ended' = Control.ended
  worldSame
}

// The answer, or that of a resend with the same token, reaches the sender.
pred hearGrant[t: Token] {
  Control.holder = t
  Control.state = Claimed
  t not in World.abandoned
  World.granted' = World.granted + t
  World.abandoned' = World.abandoned
  World.sent' = World.sent
  World.toldNotRun' = World.toldNotRun
  controlSame
}

// The sender gives up before it was granted: unavailable, not run.
pred abandon[t: Token] {
  t not in World.granted + World.abandoned
  World.abandoned' = World.abandoned + t
  World.toldNotRun' = World.toldNotRun + t
  World.granted' = World.granted
  World.sent' = World.sent
  controlSame
}

pred settleAsNotRun[t: Token] {
  Control.state' = NotRun
  Control.holder' = t
}

// What a sender gave up is given back; the command may come before the claim's own.
pred giveBack[t: Token] {
  t in World.abandoned
  Control.givenBack' = Control.givenBack + t
  (Control.holder = t and Control.state in Claimed + Lost) implies settleAsNotRun[t]
  else (Control.state' = Control.state and Control.holder' = Control.holder)
  Control.ended' = Control.ended
  worldSame
}

// The sender may send once under its grant, whatever has become of its session.
pred send[t: Token] {
  t in World.granted
  t not in World.sent + World.abandoned
  World.sent' = World.sent + t
  World.granted' = World.granted
  World.abandoned' = World.abandoned
  World.toldNotRun' = World.toldNotRun
  controlSame
}

// A sender that was granted the call decides not to send, and records that.
pred finishNotRun[t: Token] {
  t in World.granted
  t not in World.sent + World.abandoned
  Control.holder = t
  Control.state in Claimed + Lost
  settleAsNotRun[t]
  World.abandoned' = World.abandoned + t
  World.toldNotRun' = World.toldNotRun + t
  World.granted' = World.granted
  World.sent' = World.sent
  Control.givenBack' = Control.givenBack
  Control.ended' = Control.ended
}

pred finishDone[t: Token] {
  t in World.sent
  Control.holder = t
  Control.state in Claimed + Lost
  Control.state' = Done
  Control.holder' = Control.holder
  Control.givenBack' = Control.givenBack
  Control.ended' = Control.ended
  worldSame
}

pred endSession[s: Session] {
  s not in Control.ended
  Control.ended' = Control.ended + s
  (Control.state = Claimed and Control.holder.session = s) implies Control.state' = Lost
  else Control.state' = Control.state
  Control.holder' = Control.holder
  Control.givenBack' = Control.givenBack
  worldSame
}

pred step {
  stutter
  or some t: Token |
    commitClaim[t] or hearGrant[t] or abandon[t] or giveBack[t] or send[t]
      or finishNotRun[t] or finishDone[t]
  or some s: Session | endSession[s]
}

// The mutant: a call whose claimant's session ended counts as not run.
pred endSessionAsNotRun[s: Session] {
  s not in Control.ended
  Control.ended' = Control.ended + s
  (Control.state = Claimed and Control.holder.session = s) implies Control.state' = NotRun
  else Control.state' = Control.state
  Control.holder' = Control.holder
  Control.givenBack' = Control.givenBack
  worldSame
}

pred mutantStep {
  step or some s: Session | endSessionAsNotRun[s]
}

pred atMostOnce {
  always lone World.sent
}

pred noFalseNotRun {
  always no World.toldNotRun & World.sent
}

assert callRunsAtMostOnce { (always step) implies atMostOnce }

assert notRunIsTrue { (always step) implies noFalseNotRun }

assert mutantRunsAtMostOnce { (always mutantStep) implies atMostOnce }

callRunsAtMostOnceCheck: check callRunsAtMostOnce for 3 Token, 2 Session, 9 steps
notRunIsTrueCheck: check notRunIsTrue for 3 Token, 2 Session, 9 steps
mutantCheck: check mutantRunsAtMostOnce for 2 Token, 2 Session, 9 steps

// A call that was given back is claimed anew, sent and done.
claimedAnew: run {
  always step
  eventually (some World.abandoned and Control.state = Done)
} for 2 Token, 2 Session, 9 steps
