/*
 * Election, commit and replacement of a lost disk.
 *
 * A disk stands for a replica: a VM name with one disk incarnation. A leader appends at most one
 * entry in its term, so an entry is named by its term, and a log that ends in a term is that
 * leader's log. Everything that is in a log, a term or a vote here is synced.
 */
module election

open util/ordering[Term] as terms

/** The disks that three VMs began with, and the blank one that A's VM gets once A is lost. */
abstract sig Disk {}

one sig A, B, C, New extends Disk {}

/** Who votes; before, while and after New replaces A. */
abstract sig Voters {}

one sig First, Joint, Final extends Voters {}

fun now: Voters -> Disk { First -> (A + B + C) + (Joint + Final) -> (New + B + C) }

fun old: Voters -> Disk { Joint -> (A + B + C) }

/** A term; and the voters that the entry of its leader sets, if it sets any. */
sig Term { sets: lone Voters }

var sig Present in Disk {}

/** Disks that hold a group's log, be it an empty one; the others are blank. */
var sig Formed in Disk {}

var sig Committed in Term {}

one sig State {
  var log: Disk -> Term,
  var current: Disk -> one Term,
  var leads: Disk -> Term
}

/** Who acts in a step, in which term, and who is out of reach. */
one sig Step {
  var actor: one Disk,
  var term: one Term,
  var away: one Disk,
  var awayLater: one Disk
}

fun lastEntry[entries: set Term]: lone Term { terms/max[entries] }

fun votersOf[entries: set Term]: one Voters {
  let last = terms/max[entries & sets.Voters] | some last => last.sets else First
}

/** With three VMs, a majority is two. */
pred majority[members, who: set Disk] { some disj a, b: members & who | a != b }

pred quorum[v: Voters, who: set Disk] {
  majority[v.now, who]
  some v.old implies majority[v.old, who]
}

fun committedVoters: one Voters { votersOf[Committed] }

/**
 * The first leader was elected, its entry is on some of the disks, and A may be lost already. To begin here saves steps, and B and C are alike, so C need not be the leader.
 */
pred init {
  let t = terms/next[terms/first], holders = State.log.t, voted = State.current.t {
    no t.sets
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
  let mine = lastEntry[State.log[candidate]], other = lastEntry[State.log[voter]] |
    no other or (some mine and terms/gte[mine, other])
}

/**
 * An entry may set new voters once the present ones are committed. The replacement begins when A
 * is gone and New has all that is committed.
 */
pred maySet[t: Term, leader: Disk] {
  no t.sets or {
    votersOf[State.log[leader]] = committedVoters
    committedVoters = First implies (t.sets = Joint and A not in Present and mayReplace)
    committedVoters = Joint implies t.sets = Final
    committedVoters != Final
  }
}

pred mayReplace { New in Present & Formed and Committed in State.log[New] }

/** Disks that would vote for a candidate; blank ones never do. */
fun willing[candidate: Disk, t: Term]: set Disk {
  { d: Present & Formed | terms/lt[State.current[d], t] and upToDate[candidate, d] }
}

/** Disks that take a leader's log over; they may be blank or without a vote. */
fun following[leader: Disk, t: Term]: set Disk {
  { d: Present - leader | terms/lte[State.current[d], t] }
}

/** Followers take a log over; once a quorum of its voters has synced it, it is committed. */
pred spread[entries: set Term, leader: Disk, t: Term, followers, voted: set Disk] {
  let holders = followers + leader {
    State.log' = State.log - (holders -> Term) + (holders -> entries)
    State.current' = State.current ++ ((followers + voted) -> t)
    Formed' = Formed + followers
    Committed' = Committed + (quorum[votersOf[entries], holders] implies entries else none)
  }
  Present' = Present
}

/**
 * A candidate wins a term, appends its entry, and sends it to the others. At each of the two one
 * disk may be out of reach; if the candidate itself is away, it reaches nobody.
 */
pred elect[candidate, away, awayLater: Disk, t: Term] {
  candidate in votersOf[State.log[candidate]].(now + old)
  maySet[t, candidate]
  let who = willing[candidate, t] - away,
      followers = awayLater = candidate implies none else following[candidate, t] - awayLater {
    candidate in who
    quorum[votersOf[State.log[candidate]], who]
    spread[State.log[candidate] + t, candidate, t, followers, who]
  }
  State.leads' = State.leads + candidate -> t
}

/** A leader sends its log to the others; one of them may be out of reach. */
pred replicate[leader, away: Disk, t: Term] {
  leader in Present
  t in State.leads[leader]
  State.current[leader] = t
  spread[State.log[leader], leader, t, following[leader, t] - away, leader]
  State.leads' = State.leads
}

/** One disk may be lost while all voters have theirs, also right after a repair. */
pred bearable {
  no committedVoters.old
  committedVoters.now in Present
}

/** A disk is lost; A's VM comes back on a blank one. */
pred lose[lost: Disk] {
  bearable
  lost in Present
  Present' = Present - lost + (lost = A implies New else none)
  Formed' = Formed and Committed' = Committed
  State.log' = State.log and State.leads' = State.leads and State.current' = State.current
  unused[Step.away] and unused[Step.awayLater] and Step.term = terms/first
}

/** The mutant: a VM loses its disk and goes on as its old self, with an empty log and a vote. */
pred loseAndVoteAgain[lost: Disk] {
  bearable
  lost in Present
  State.log' = State.log - (lost -> Term)
  State.current' = State.current ++ (lost -> terms/first)
  State.leads' = State.leads and Present' = Present
  Formed' = Formed and Committed' = Committed
}

/** Nothing happens from here on. */
pred stutter {
  unused[Step.actor] and unused[Step.away] and unused[Step.awayLater]
  Step.term = terms/first
  State.log' = State.log and State.leads' = State.leads and State.current' = State.current
  Present' = Present and Formed' = Formed and Committed' = Committed
}

/** What a step doesn't use has one value, so that there are fewer steps to look at. */
pred unused[d: Disk] { d = A }

pred ordinaryStep {
  (stutter and after stutter)
  or elect[Step.actor, Step.away, Step.awayLater, Step.term]
  or (replicate[Step.actor, Step.away, Step.term] and unused[Step.awayLater])
}

pred protocol { init and always (ordinaryStep or lose[Step.actor]) }

pred mutant { init and always (ordinaryStep or loseAndVoteAgain[Step.actor]) }

/**
 * No term has two leaders; a leader has all that leaders of earlier terms committed; and what is
 * committed is one history.
 */
pred safe {
  all t: Term | lone State.leads.t
  all d: Present, t: State.leads[d] |
    State.current[d] = t and terms/lt[lastEntry[Committed], t] implies Committed in State.log[d]
  all d: Disk | lastEntry[Committed] in State.log[d] implies Committed in State.log[d]
}

assert ProtocolIsSafe { protocol implies always safe }

assert MutantIsSafe { mutant implies always safe }

/** The spec is not empty: a lost disk can be replaced, and something committed afterwards. */
pred replacementHappens {
  protocol
  eventually committedVoters = Final
}

check ProtocolIsSafe for 5 Term, 5..5 steps
check MutantIsSafe for 3 Term, 3..3 steps
run replacementHappens for 4 Term, 4..4 steps
