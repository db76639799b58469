/*
 * Election, commit and replacement of a lost disk.
 *
 * A disk stands for a replica: a VM name with one disk incarnation. A leader appends at most one
 * entry in its term, so an entry is named by its term, and a log that ends in a term is that
 * leader's log. Everything that is in a log, a term or a vote here is synced.
 */
module election

open util/ordering[Term] as terms

sig Vm {}

sig Disk { vm: one Vm }

/** Who votes. Joint sets have the voters before the replacement too. */
sig Voters {
  now: set Disk,
  old: set Disk
}

one sig First extends Voters {}

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

fact firstVoters {
  all v: Vm | one First.now & vm.v
  no First.old
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

pred init {
  Present = First.now
  Formed = First.now
  no Committed
  no State.log
  no State.leads
  all d: Disk | State.current[d] = terms/first
}

pred upToDate[candidate, voter: Disk] {
  let mine = lastEntry[State.log[candidate]], other = lastEntry[State.log[voter]] |
    no other or (some mine and terms/gte[mine, other])
}

/** A candidate wins a term by the votes of the given disks, three at most; none is blank. */
pred elect[candidate: Disk, t: Term, who: set Disk] {
  candidate in who
  who in Present & Formed
  candidate in votersOf[State.log[candidate]].(now + old)
  all d: who | terms/lt[State.current[d], t] and upToDate[candidate, d]
  quorum[votersOf[State.log[candidate]], who]
  State.current' = State.current ++ (who -> t)
  State.leads' = State.leads + candidate -> t
  State.log' = State.log
  Present' = Present and Formed' = Formed and Committed' = Committed
}

pred leadsNow[leader: Disk, t: Term] {
  leader in Present
  t in State.leads[leader]
  State.current[leader] = t
}

/** A replacement begins: only of a disk that is gone, by one that has all that is committed. */
pred mayBegin[v: Voters, present: Voters] {
  no present.old
  v.old = present.now
  some lost: present.now - Present, new: Present & Formed - present.now {
    lost.vm = new.vm
    Committed in State.log[new]
    v.now = present.now - lost + new
  }
}

/** A replacement ends: the voters before it have no say any more. */
pred mayEnd[v: Voters, present: Voters] {
  some present.old
  no v.old
  v.now = present.now
}

pred append[leader: Disk, t: Term] {
  leadsNow[leader, t]
  t not in State.log[leader]
  let present = votersOf[State.log[leader]] | some t.sets implies {
    present = committedVoters
    t.sets != First
    mayBegin[t.sets, present] or mayEnd[t.sets, present]
  }
  State.log' = State.log + leader -> t
  State.leads' = State.leads and State.current' = State.current
  Present' = Present and Formed' = Formed and Committed' = Committed
}

/** A follower, which may be blank or without a vote, takes the leader's log over. */
pred replicate[leader: Disk, t: Term, follower: Disk] {
  leadsNow[leader, t]
  follower in Present - leader
  terms/lte[State.current[follower], t]
  State.log' = State.log - (follower -> Term) + (follower -> State.log[leader])
  State.current' = State.current ++ (follower -> t)
  Formed' = Formed + follower
  State.leads' = State.leads and Present' = Present and Committed' = Committed
}

/** A leader counts who has its own entry; what stands before it is committed too. */
pred commit[leader: Disk, t: Term] {
  leadsNow[leader, t]
  t in State.log[leader]
  quorum[votersOf[State.log[leader]], Present & State.log.t]
  Committed' = Committed + State.log[leader]
  State.log' = State.log and State.leads' = State.leads and State.current' = State.current
  Present' = Present and Formed' = Formed
}

/** One disk may be lost while all voters have theirs, also right after a repair. */
pred bearable {
  no committedVoters.old
  committedVoters.now in Present
}

/** A VM loses its disk and comes back on a blank one. */
pred lose[lost: Disk] {
  bearable
  lost in Present
  some new: Disk - Present {
    new.vm = lost.vm
    historically new not in Present
    Present' = Present - lost + new
  }
  Formed' = Formed and Committed' = Committed
  State.log' = State.log and State.leads' = State.leads and State.current' = State.current
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

pred stutter {
  State.log' = State.log and State.leads' = State.leads and State.current' = State.current
  Present' = Present and Formed' = Formed and Committed' = Committed
}

pred ordinaryStep {
  stutter
  or (some d, e, f: Disk, t: Term | elect[d, t, d + e + f])
  or (some d: Disk, t: Term | append[d, t])
  or (some d, f: Disk, t: Term | replicate[d, t, f])
  or (some d: Disk, t: Term | commit[d, t])
}

pred protocol { init and always (ordinaryStep or some d: Disk | lose[d]) }

pred mutant { init and always (ordinaryStep or some d: Disk | loseAndVoteAgain[d]) }

/** No term has two leaders, and each leader has all that earlier leaders committed. */
pred safe {
  all t: Term | lone State.leads.t
  all d: Disk, t: State.leads[d] |
    State.current[d] = t and d in Present implies
      (Committed & terms/prevs[t]) in State.log[d]
}

assert ProtocolIsSafe { protocol implies always safe }

assert MutantIsSafe { mutant implies always safe }

/** The spec is not empty: a lost disk can be replaced, and something committed afterwards. */
pred replacementHappens {
  protocol
  eventually (some committedVoters.old)
  eventually (committedVoters != First and no committedVoters.old)
}

check ProtocolIsSafe for 3 but exactly 3 Vm, 4 Disk, 3 Voters, 4 Term, 9 steps
check MutantIsSafe for 3 but exactly 3 Vm, 3 Disk, 1 Voters, 4 Term, 8 steps
run replacementHappens for 3 but exactly 3 Vm, 4 Disk, 3 Voters, 4 Term, 10 steps
