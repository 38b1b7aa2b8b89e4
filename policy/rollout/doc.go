// Package rollout decides how a service moves to another version of its targets.
//
// An operator's Order asks for a version within a time. The Controller of the service turns
// what the owners report (Evidence) into a State, which the store holds and all owners
// apply. The Gate of an owner decides from the state whether a further call may start.
//
// The new version first runs on few owners that have grants: numbers of calls that may
// start there. A sequential test compares its answers with those of the old version, and
// either the version is closed or its owners are opened in steps, the old ones drained, and
// the rollout completed.
//
// The package does no input or output and starts no goroutines; callers pass the time.
package rollout
