// Package quarantine prevents a poison request, which crashes every target
// that runs it, from crashing more than two targets in the fleet.
//
// A request is identified by a fingerprint of its account, service, method,
// path and body. When a target crashes, the crash is recorded for each request
// that was in flight there, which makes the request a suspect, and a notice
// tells all nodes. Suspects run isolated: no other suspect is in flight at the
// same target (SuspectSlot), and all copies of one suspect go to the same owner
// (RankOwners). A second crash therefore quarantines at most one suspect, which
// is then refused until the quarantine ends or an operator lifts it. A suspect
// that completes successfully is cleared, so harmless requests that were in
// flight at the crash soon run normally again.
//
// The state converges whatever the order of the notices. A crash record is
// identified by its crash id, and a clearing names the crash ids that it
// clears, so notices may arrive late, twice and in any order. A crash counts
// once, whoever reports it, because its id is derived from the owner's process
// and the target's epoch.
//
// When its quarantine ends, a request is a suspect again and keeps its crash
// records, so each further quarantine costs at most one target.
package quarantine
