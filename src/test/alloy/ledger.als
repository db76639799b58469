/*
 * Claims of non-idempotent calls.
 *
 * Control holds one record per key. A claim (token) belongs to one session, and its reply may be
 * lost. A sender with a granted claim may be suspended for any time before it sends the call. Its
 * session may end meanwhile without its knowledge. A sent call cannot be revoked.
 */
module ledger

enum State { Free, Claimed, Done, NotRun, Unknown }

sig Session {}

sig Token {
  session: one Session,
}

one sig Control {
  var state: one State,
  var holder: lone Token,
  // Tokens whose claim was released, before or after the claim was committed.
  var released: set Token,
  var endedSessions: set Session
}

one sig World {
  // Tokens whose sender has received the grant.
  var granted: set Token,
  // Tokens whose sender has abandoned the call: it reported "not run" and will not send.
  var abandoned: set Token,
  // Tokens under which the call was sent and may have run; each token sends at most once.
  var sent: set Token,
  // Tokens whose caller received the report that the call was not run.
  var reportedNotRun: set Token
}

fact init {
  Control.state = Free
  no Control.holder
  no Control.released
  no Control.endedSessions
  no World.granted
  no World.abandoned
  no World.sent
  no World.reportedNotRun
}

pred controlUnchanged {
  Control.state' = Control.state
  Control.holder' = Control.holder
  Control.released' = Control.released
  Control.endedSessions' = Control.endedSessions
}

pred worldUnchanged {
  World.granted' = World.granted
  World.abandoned' = World.abandoned
  World.sent' = World.sent
  World.reportedNotRun' = World.reportedNotRun
}

pred stutter {
  controlUnchanged
  worldUnchanged
}

pred claimable[t: Token] {
  t not in Control.released
  t.session not in Control.endedSessions
  Control.state in Free + NotRun
  // A resend of a finished claim gets the verdict of that claim, not a new grant.
  Control.holder != t
}

// The command is committed; its reply has not been received yet.
pred commitClaim[t: Token] {
  claimable[t]
  Control.state' = Claimed
  Control.holder' = t
  Control.released' = Control.released
  Control.endedSessions' = Control.endedSessions
  worldUnchanged
}

// The sender receives the reply to its claim or to a resend with the same token.
pred receiveGrant[t: Token] {
  Control.holder = t
  Control.state = Claimed
  t not in World.abandoned
  World.granted' = World.granted + t
  World.abandoned' = World.abandoned
  World.sent' = World.sent
  World.reportedNotRun' = World.reportedNotRun
  controlUnchanged
}

// The sender abandons a claim whose grant it has not received, and reports that the call was not
// run.
pred abandon[t: Token] {
  t not in World.granted + World.abandoned
  World.abandoned' = World.abandoned + t
  World.reportedNotRun' = World.reportedNotRun + t
  World.granted' = World.granted
  World.sent' = World.sent
  controlUnchanged
}

pred settleAsNotRun[t: Token] {
  Control.state' = NotRun
  Control.holder' = t
}

// Releases an abandoned claim; this command may commit before the claim itself.
pred release[t: Token] {
  t in World.abandoned
  Control.released' = Control.released + t
  (Control.holder = t and Control.state in Claimed + Unknown) implies settleAsNotRun[t]
  else (Control.state' = Control.state and Control.holder' = Control.holder)
  Control.endedSessions' = Control.endedSessions
  worldUnchanged
}

// The sender may send once under its grant, even if its session has ended.
pred send[t: Token] {
  t in World.granted
  t not in World.sent + World.abandoned
  World.sent' = World.sent + t
  World.granted' = World.granted
  World.abandoned' = World.abandoned
  World.reportedNotRun' = World.reportedNotRun
  controlUnchanged
}

// A sender with a granted claim decides not to send, and records that.
pred finishNotRun[t: Token] {
  t in World.granted
  t not in World.sent + World.abandoned
  Control.holder = t
  Control.state in Claimed + Unknown
  settleAsNotRun[t]
  World.abandoned' = World.abandoned + t
  World.reportedNotRun' = World.reportedNotRun + t
  World.granted' = World.granted
  World.sent' = World.sent
  Control.released' = Control.released
  Control.endedSessions' = Control.endedSessions
}

pred finishDone[t: Token] {
  t in World.sent
  Control.holder = t
  Control.state in Claimed + Unknown
  Control.state' = Done
  Control.holder' = Control.holder
  Control.released' = Control.released
  Control.endedSessions' = Control.endedSessions
  worldUnchanged
}

pred endSession[s: Session] {
  s not in Control.endedSessions
  Control.endedSessions' = Control.endedSessions + s
  (Control.state = Claimed and Control.holder.session = s) implies Control.state' = Unknown
  else Control.state' = Control.state
  Control.holder' = Control.holder
  Control.released' = Control.released
  worldUnchanged
}

pred step {
  stutter
  or some t: Token |
    commitClaim[t] or receiveGrant[t] or abandon[t] or release[t] or send[t]
      or finishNotRun[t] or finishDone[t]
  or some s: Session | endSession[s]
}

// Mutant: a claimed call counts as not run once the claimant's session has ended.
pred endSessionAsNotRun[s: Session] {
  s not in Control.endedSessions
  Control.endedSessions' = Control.endedSessions + s
  (Control.state = Claimed and Control.holder.session = s) implies Control.state' = NotRun
  else Control.state' = Control.state
  Control.holder' = Control.holder
  Control.released' = Control.released
  worldUnchanged
}

pred mutantStep {
  step or some s: Session | endSessionAsNotRun[s]
}

pred atMostOnce {
  always lone World.sent
}

pred noFalseNotRun {
  always no World.reportedNotRun & World.sent
}

assert callRunsAtMostOnce { (always step) implies atMostOnce }

assert notRunIsTrue { (always step) implies noFalseNotRun }

assert mutantRunsAtMostOnce { (always mutantStep) implies atMostOnce }

callRunsAtMostOnceCheck: check callRunsAtMostOnce for 3 Token, 2 Session, 9 steps
notRunIsTrueCheck: check notRunIsTrue for 3 Token, 2 Session, 9 steps
mutantCheck: check mutantRunsAtMostOnce for 2 Token, 2 Session, 9 steps

// An abandoned call can be claimed again, sent and done.
claimedAgain: run {
  always step
  eventually (some World.abandoned and Control.state = Done)
} for 2 Token, 2 Session, 9 steps
