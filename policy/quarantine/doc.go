// Package quarantine keeps a request that crashes each target that runs it
// from crashing more than two in the fleet.
//
// A request is known by a fingerprint of its account, service, method, path
// and body. When a target crashes, each request that was in flight there gets
// a strike with the crash's id and becomes a suspect; a notice tells all
// nodes. A suspect runs isolated: no other suspect is in flight at the same
// target (Gate), and all copies of one suspect go to the same owner (Rank).
// A second crash therefore convicts at most one suspect, which is then refused
// as quarantined until its term ends or an operator lifts it. A suspect that
// completes well is cleared, which is what happens to the innocent requests
// that were in flight beside the crash.
//
// Notices are sets: a strike is known by its crash id, and clearing names the
// crash ids that it clears, so notices may come late, twice and in any order
// and all nodes end in the same state. A crash counts once, whoever reports
// it, because its id is made of the owner's process and the target's epoch.
//
// After its term a quarantined request is a suspect again with its strikes
// kept, so each further term costs at most one target.
package quarantine
