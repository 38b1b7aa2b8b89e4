// Package admission decides which calls an owner gives to its target.
//
// An Owner is told of offered calls, of the ends of calls in flight and of
// what happens to the target and the node, each with its time, and answers
// with starts, waits and refusals. A call in flight holds a slot until Finish.
// The number of slots that are open is the limit:
//
//   - A cold target has a limit of one, which widens by one on completions
//     that used the limit up and had a good latency. Time alone widens nothing.
//   - A warm target has all its slots open. It turns cold when its latency
//     departs from its own baseline (a CUSUM test), when its connection breaks
//     or when another process announces itself at its address.
//   - A target that turns work away has its limit cut, and grows again by one
//     (additive increase, multiplicative decrease).
//   - A failing target has a limit of zero for a time that doubles with each
//     failed try.
//
// Calls beyond the limit wait in a fair queue (package fairqueue) if they can
// be served before their deadline and within Options.MaxWait; otherwise they
// are refused at once. An account beyond its share of the slots leaves some
// free for the others (trunk reservation). Each refusal says that the call did
// not run, which is certain, because only the owner sends to the target.
//
// Each method that can end the wait of queued calls returns them as Releases:
// a call is either started or refused, once. The package does no I/O and reads
// no clock.
package admission
