// Package admission decides which calls an owner sends to its target.
//
// An Owner processes offered calls, the ends of calls in flight and events at
// the target and the node, each with its time. It answers an offered call with
// a start, a wait or a refusal. A call in flight holds a slot until Finish. The
// limit is the number of calls that may be in flight at once:
//
//   - A cold target has a limit of one. The limit grows by one after enough
//     completions with good latency, which count little unless the limit was
//     nearly used up. Time alone never raises it.
//   - A warm target has all its slots open; one that was already warm when the
//     owner started begins with half of them. It turns cold when its latency
//     departs from its own baseline (a CUSUM test), when its connection breaks
//     or when another process announces itself at its address.
//   - The limit of a target that sheds load is cut to a fraction, and grows
//     again by one (additive increase, multiplicative decrease).
//   - A failing target has a limit of zero for a time that doubles with each
//     failed retry (circuit breaker with exponential backoff).
//
// Calls beyond the limit wait in a fair queue (package fairqueue) if they can
// be served before their deadline and within Options.MaxWait; otherwise they
// are refused at once. An account that uses more than its share of the slots
// must leave some free for the others (trunk reservation). Each refusal states
// that the call did not run, which is certain because only the owner sends
// calls to the target.
//
// Each method that can end the wait of queued calls returns them as Releases:
// each queued call is started or refused exactly once. The package does no I/O
// and reads no clock.
package admission
