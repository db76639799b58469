/*
 * Election, commit and replacement of a lost disk.
 *
 * A disk represents a replica: a VM name with one disk incarnation. A leader appends at most one
 * entry per term, so a term identifies its entry, and a log that ends in a term is the log of that
 * term's leader. All logs, terms and votes of the model are synced to disk.
 */
module election

open util/ordering[Term] as terms

/** The initial disks of three VMs, and the blank disk that the VM of A gets after A is lost. */
abstract sig Disk {}

one sig A, B, C, New extends Disk {}

/** The voter set before, during and after the replacement of A by New. */
abstract sig VoterSet {}

one sig First, Joint, Final extends VoterSet {}

fun currentMembers: VoterSet -> Disk { First -> (A + B + C) + (Joint + Final) -> (New + B + C) }

fun oldMembers: VoterSet -> Disk { Joint -> (A + B + C) }

/** A term, and the voter set in its leader's entry, if the entry changes it. */
sig Term { newVoterSet: lone VoterSet }

var sig Present in Disk {}

/** Disks that hold the group's log, which may be empty; the others are blank. */
var sig Formed in Disk {}

var sig Committed in Term {}

one sig State {
  var log: Disk -> Term,
  var current: Disk -> one Term,
  var leads: Disk -> Term
}

/** The acting disk of a step, its term, and the unreachable disks. */
one sig Step {
  var actor: one Disk,
  var term: one Term,
  var unreachable: one Disk,
  var unreachableLater: one Disk
}

fun lastEntry[entries: set Term]: lone Term { terms/max[entries] }

fun voterSetOf[entries: set Term]: one VoterSet {
  let last = terms/max[entries & newVoterSet.VoterSet] | some last => last.newVoterSet else First
}

/** With three VMs, a majority is two. */
pred majority[members, subset: set Disk] { some disj a, b: members & subset | a != b }

pred quorum[voterSet: VoterSet, subset: set Disk] {
  majority[voterSet.currentMembers, subset]
  some voterSet.oldMembers implies majority[voterSet.oldMembers, subset]
}

fun committedVoterSet: one VoterSet { voterSetOf[Committed] }

/**
 * The first leader is elected, its entry is on some of the disks, and A may be lost already.
 * Starting here saves steps. B and C are symmetric, so C need not be the leader.
 */
pred init {
  let t = terms/next[terms/first], holders = State.log.t, voted = State.current.t {
    no t.newVoterSet
    State.log in Disk -> t
    one State.leads
    State.leads in (holders - C) -> t
    holders in voted
    quorum[First, voted]
    State.current in Disk -> (terms/first + t)
    Committed = (quorum[First, holders] implies t else none)
  }
  (Present = A + B + C and New not in State.log.Term) or Present = New + B + C
  Formed = A + B + C + State.log.Term
  New in State.log.Term or State.current[New] = terms/first
}

pred upToDate[candidate, voter: Disk] {
  let candidateLast = lastEntry[State.log[candidate]], voterLast = lastEntry[State.log[voter]] |
    no voterLast or (some candidateLast and terms/gte[candidateLast, voterLast])
}

/**
 * An entry may set a new voter set once the present one is committed. The replacement starts when A
 * is lost and New holds all committed entries.
 */
pred maySetVoters[t: Term, leader: Disk] {
  no t.newVoterSet or {
    voterSetOf[State.log[leader]] = committedVoterSet
    committedVoterSet = First implies (t.newVoterSet = Joint and A not in Present and mayReplace)
    committedVoterSet = Joint implies t.newVoterSet = Final
    committedVoterSet != Final
  }
}

pred mayReplace { New in Present & Formed and Committed in State.log[New] }

/** Disks that grant their vote to a candidate; blank disks never do. */
fun grantingDisks[candidate: Disk, t: Term]: set Disk {
  { d: Present & Formed | terms/lt[State.current[d], t] and upToDate[candidate, d] }
}

/** Disks that accept a leader's log; they include blank disks and non-voters. */
fun followersOf[leader: Disk, t: Term]: set Disk {
  { d: Present - leader | terms/lte[State.current[d], t] }
}

/** Followers replicate a log, which commits once a quorum of its voter set has synced it. */
pred replicateLog[entries: set Term, leader: Disk, t: Term, followers, granting: set Disk] {
  let holders = followers + leader {
    State.log' = State.log - (holders -> Term) + (holders -> entries)
    State.current' = State.current ++ ((followers + granting) -> t)
    Formed' = Formed + followers
    Committed' = Committed + (quorum[voterSetOf[entries], holders] implies entries else none)
  }
  Present' = Present
}

/**
 * A candidate wins a term, appends its entry and sends it to the other disks. One disk may be
 * unreachable during the vote and one during the append; a candidate that is itself unreachable
 * reaches no other disk.
 */
pred elect[candidate, unreachable, unreachableLater: Disk, t: Term] {
  candidate in voterSetOf[State.log[candidate]].(currentMembers + oldMembers)
  maySetVoters[t, candidate]
  let granting = grantingDisks[candidate, t] - unreachable,
      followers = unreachableLater = candidate implies none
        else followersOf[candidate, t] - unreachableLater {
    candidate in granting
    quorum[voterSetOf[State.log[candidate]], granting]
    replicateLog[State.log[candidate] + t, candidate, t, followers, granting]
  }
  State.leads' = State.leads + candidate -> t
}

/** A leader sends its log to the other disks, of which one may be unreachable. */
pred replicate[leader, unreachable: Disk, t: Term] {
  leader in Present
  t in State.leads[leader]
  State.current[leader] = t
  replicateLog[State.log[leader], leader, t, followersOf[leader, t] - unreachable, leader]
  State.leads' = State.leads
}

/** One disk may be lost while all voters have their disks, including right after a replacement. */
pred mayLoseDisk {
  no committedVoterSet.oldMembers
  committedVoterSet.currentMembers in Present
}

/** A disk is lost; the VM of A restarts with a blank disk. */
pred loseDisk[lost: Disk] {
  mayLoseDisk
  lost in Present
  Present' = Present - lost + (lost = A implies New else none)
  Formed' = Formed and Committed' = Committed
  State.log' = State.log and State.leads' = State.leads and State.current' = State.current
  unused[Step.unreachable] and unused[Step.unreachableLater] and Step.term = terms/first
}

/** Mutant: a VM loses its disk and keeps its identity and vote, with an empty log. */
pred wipeAndVoteAgain[lost: Disk] {
  mayLoseDisk
  lost in Present
  State.log' = State.log - (lost -> Term)
  State.current' = State.current ++ (lost -> terms/first)
  State.leads' = State.leads and Present' = Present
  Formed' = Formed and Committed' = Committed
}

/** The state no longer changes. */
pred stutter {
  unused[Step.actor] and unused[Step.unreachable] and unused[Step.unreachableLater]
  Step.term = terms/first
  State.log' = State.log and State.leads' = State.leads and State.current' = State.current
  Present' = Present and Formed' = Formed and Committed' = Committed
}

/** Gives a parameter that a step does not use a fixed value, to reduce the state space. */
pred unused[d: Disk] { d = A }

pred ordinaryStep {
  (stutter and after stutter)
  or elect[Step.actor, Step.unreachable, Step.unreachableLater, Step.term]
  or (replicate[Step.actor, Step.unreachable, Step.term] and unused[Step.unreachableLater])
}

pred protocol { init and always (ordinaryStep or loseDisk[Step.actor]) }

pred mutant { init and always (ordinaryStep or wipeAndVoteAgain[Step.actor]) }

/**
 * Each term has at most one leader, a leader's log contains all entries committed in earlier terms,
 * and the committed entries form a single history.
 */
pred safe {
  all t: Term | lone State.leads.t
  all d: Present, t: State.leads[d] |
    State.current[d] = t and terms/lt[lastEntry[Committed], t] implies Committed in State.log[d]
  all d: Disk | lastEntry[Committed] in State.log[d] implies Committed in State.log[d]
}

assert ProtocolIsSafe { protocol implies always safe }

assert MutantIsSafe { mutant implies always safe }

/** The model is not vacuous: a lost disk can be replaced, and an entry committed afterwards. */
pred replacementHappens {
  protocol
  eventually committedVoterSet = Final
}

check ProtocolIsSafe for 5 Term, 5..5 steps
check MutantIsSafe for 3 Term, 3..3 steps
run replacementHappens for 4 Term, 4..4 steps
