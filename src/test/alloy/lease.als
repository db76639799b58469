/*
 * Lease ownership under clock drift and suspension.
 *
 * Time is counted in ticks of real time. An entry's clock may run slow: it counts at most Drift
 * ticks too few in a lease. A lease lasts Lease ticks; the entry uses it while fewer than
 * Lease - Drift of its own ticks have passed since it sent the renewal; control ends a session once
 * more than Lease of its own, true ticks have passed since the renewal arrived. The next leader
 * counts a whole lease from the moment it leads. A suspended entry does nothing, and looks at its
 * clock again before it acts; what is left of that is in docs/design/0003.
 */
module lease

open util/integer

// Numbers of the model: a lease of 3 ticks, of which 1 is the margin for drift.
fun leaseTicks: Int { 3 }
fun marginTicks: Int { 1 }

abstract sig Entry {}
one sig First, Second extends Entry {}

one sig Control {
  // Entries with an open session, by committed commands.
  var opened: set Entry,
  // Ticks since the leader counts each lease: since the last renewal that it heard, or since it
  // leads.
  var heardAgo: Entry -> one Int,
  // The pool's owner: one of the open sessions, or none.
  var owner: lone Entry
}

one sig World {
  // A renewal on its way to the leader, from this entry.
  var renewing: set Entry,
  // Ticks, on the entry's own clock, since it sent the renewal that is on its way.
  var sendingAgo: Entry -> one Int,
  // Ticks, on the entry's own clock, since it sent the last renewal that was answered.
  var leaseAgo: Entry -> one Int,
  // Ticks that each entry's clock has lost since that send; at most the margin in one lease.
  var lost: Entry -> one Int,
  var sendingLost: Entry -> one Int,
  var suspended: set Entry,
  // Entries that believe, from the newest state they have seen, that they own the pool.
  var believes: set Entry
}

fun expired: Int { leaseTicks }

pred fresh[e: Entry] {
  World.leaseAgo[e] < minus[leaseTicks, marginTicks]
}

// The entries that give the pool's upstreams new work at this instant.
fun admitting: set Entry {
  { e: Entry | e in World.believes and fresh[e] and e not in World.suspended }
}

// Counting stops at the end of the lease, which is as good as later.
fun later[i: Int]: Int { i < expired implies plus[i, 1] else i }

fact init {
  Control.opened = Entry
  Control.owner = First
  World.believes = First
  no World.renewing
  no World.suspended
  all e: Entry {
    Control.heardAgo[e] = 0
    World.leaseAgo[e] = 0
    World.sendingAgo[e] = 0
    World.lost[e] = 0
    World.sendingLost[e] = 0
  }
}

pred clocksSame {
  World.leaseAgo' = World.leaseAgo
  World.sendingAgo' = World.sendingAgo
  World.lost' = World.lost
  World.sendingLost' = World.sendingLost
}

pred controlSame {
  Control.opened' = Control.opened
  Control.heardAgo' = Control.heardAgo
  Control.owner' = Control.owner
}

pred stutter {
  controlSame
  clocksSame
  World.renewing' = World.renewing
  World.suspended' = World.suspended
  World.believes' = World.believes
}

// One tick of real time: control counts it; an entry's clock counts it or loses it.
pred tick {
  Control.opened' = Control.opened
  Control.owner' = Control.owner
  all e: Entry {
    Control.heardAgo'[e] = later[Control.heardAgo[e]]
    (entryTicks[e] or entryLosesTick[e])
  }
  World.renewing' = World.renewing
  World.suspended' = World.suspended
  World.believes' = World.believes
}

pred entryTicks[e: Entry] {
  World.leaseAgo'[e] = later[World.leaseAgo[e]]
  World.sendingAgo'[e] = later[World.sendingAgo[e]]
  World.lost'[e] = World.lost[e]
  World.sendingLost'[e] = World.sendingLost[e]
}

pred entryLosesTick[e: Entry] {
  World.lost[e] < marginTicks
  World.sendingLost[e] < marginTicks
  World.leaseAgo'[e] = World.leaseAgo[e]
  World.sendingAgo'[e] = World.sendingAgo[e]
  World.lost'[e] = plus[World.lost[e], 1]
  World.sendingLost'[e] = plus[World.sendingLost[e], 1]
}

pred sendRenewal[e: Entry] {
  e not in World.suspended + World.renewing
  controlSame
  World.renewing' = World.renewing + e
  World.sendingAgo' = World.sendingAgo ++ e->0
  World.sendingLost' = World.sendingLost ++ e->0
  World.leaseAgo' = World.leaseAgo
  World.lost' = World.lost
  World.suspended' = World.suspended
  World.believes' = World.believes
}

// The leader hears it; the answer arrives at once or, where the entry is suspended, when it is read.
pred hearRenewal[e: Entry] {
  e in World.renewing and e in Control.opened
  Control.opened' = Control.opened
  Control.owner' = Control.owner
  Control.heardAgo' = Control.heardAgo ++ e->0
  clocksSame
  World.renewing' = World.renewing
  World.suspended' = World.suspended
  World.believes' = World.believes
}

pred heardAfterSend[e: Entry] {
  World.sendingAgo[e] = expired
  or Control.heardAgo[e] <= plus[World.sendingAgo[e], World.sendingLost[e]]
}

// The entry reads the answer of a renewal that was heard, with the state as of the answer.
pred readAnswer[e: Entry] {
  e in World.renewing - World.suspended
  e in Control.opened
  heardAfterSend[e]
  controlSame
  World.renewing' = World.renewing - e
  leaseCountsFromSend[e]
  World.sendingAgo' = World.sendingAgo
  World.sendingLost' = World.sendingLost
  World.suspended' = World.suspended
  Control.owner = e implies World.believes' = World.believes + e
  else World.believes' = World.believes - e
}

pred leaseCountsFromSend[e: Entry] {
  World.leaseAgo' = World.leaseAgo ++ e->World.sendingAgo[e]
  World.lost' = World.lost ++ e->World.sendingLost[e]
}

pred loseRenewal[e: Entry] {
  e in World.renewing
  controlSame
  clocksSame
  World.renewing' = World.renewing - e
  World.suspended' = World.suspended
  World.believes' = World.believes
}

pred suspendOrResume[e: Entry] {
  controlSame
  clocksSame
  World.renewing' = World.renewing
  World.believes' = World.believes
  World.suspended' = World.suspended + e or World.suspended' = World.suspended - e
}

// A committed command ends a session whose lease is surely over; the pool has another owner then.
pred expire[e: Entry] {
  e in Control.opened
  Control.heardAgo[e] >= expired
  Control.opened' = Control.opened - e
  Control.heardAgo' = Control.heardAgo
  Control.owner = e implies Control.owner' in Control.opened - e else Control.owner' = Control.owner
  clocksSame
  World.renewing' = World.renewing
  World.suspended' = World.suspended
  World.believes' = World.believes
}

// A new leader has heard from nobody, and gives each session a whole lease.
pred newLeader {
  Control.opened' = Control.opened
  Control.owner' = Control.owner
  Control.heardAgo' = Entry->0
  clocksSame
  World.renewing' = World.renewing
  World.suspended' = World.suspended
  World.believes' = World.believes
}

pred commonStep {
  stutter
  or tick
  or newLeader
  or some e: Entry |
    sendRenewal[e] or hearRenewal[e] or loseRenewal[e] or suspendOrResume[e]
}

pred step {
  commonStep or some e: Entry | readAnswer[e] or expire[e]
}

// Mutant 1: the lease counts from the arrival of the answer.
pred readAnswerCountingFromArrival[e: Entry] {
  e in World.renewing - World.suspended
  e in Control.opened
  heardAfterSend[e]
  controlSame
  World.renewing' = World.renewing - e
  World.leaseAgo' = World.leaseAgo ++ e->0
  World.lost' = World.lost ++ e->0
  World.sendingAgo' = World.sendingAgo
  World.sendingLost' = World.sendingLost
  World.suspended' = World.suspended
  Control.owner = e implies World.believes' = World.believes + e
  else World.believes' = World.believes - e
}

// Mutant 2: control ends a session as early as the entry's own clock would.
pred expireEarly[e: Entry] {
  e in Control.opened
  Control.heardAgo[e] >= minus[expired, marginTicks]
  Control.opened' = Control.opened - e
  Control.heardAgo' = Control.heardAgo
  Control.owner = e implies Control.owner' in Control.opened - e else Control.owner' = Control.owner
  clocksSame
  World.renewing' = World.renewing
  World.suspended' = World.suspended
  World.believes' = World.believes
}

pred arrivalMutantStep {
  commonStep or some e: Entry | readAnswerCountingFromArrival[e] or expire[e]
}

pred earlyMutantStep {
  commonStep or some e: Entry | readAnswer[e] or expireEarly[e]
}

pred oneOwner {
  always lone admitting
}

// Whoever admits still has its session: nobody else can have been made owner.
pred admitsOnlyWithSession {
  always admitting in Control.opened
}

assert oneAdmits { (always step) implies (oneOwner and admitsOnlyWithSession) }

assert arrivalMutant { (always arrivalMutantStep) implies (oneOwner and admitsOnlyWithSession) }

assert earlyMutant { (always earlyMutantStep) implies (oneOwner and admitsOnlyWithSession) }

oneAdmitsCheck: check oneAdmits for 3 Int, 9 steps
arrivalMutantCheck: check arrivalMutant for 3 Int, 9 steps
earlyMutantCheck: check earlyMutant for 3 Int, 9 steps

// Ownership does move: the second entry admits after the first was suspended.
ownershipMoves: run {
  always step
  eventually Second in admitting
} for 3 Int, 9 steps
