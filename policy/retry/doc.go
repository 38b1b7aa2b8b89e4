// Package retry decides whether a failed call is sent again, and when a slow
// one is hedged.
//
// Failover. A call that is known not to have run may be sent to another owner
// immediately, within its deadline, the limit of attempts and a token bucket
// that first attempts refill.
//
// Retries and hedges. A call that may have run is retried only if it is
// idempotent, or if it goes to the issuer of its request key, which runs it at
// most once. Retries and hedges take tokens from buckets that only successes
// and a low constant rate refill, so that they drop to that rate when nothing
// succeeds.
//
// Repeated runs. Where callers and targets share entries, so that nested calls carry no
// allowance, Options.RerunPart leaves room for the calls that a repeated run makes again: they
// count as repeats at the services that they go to, beside the retries there.
//
// Nested calls. Each call carries an allowance: the number of further
// attempts that may still be made on the path from the first caller down to
// it. The first attempt of a call passes the whole allowance on; each further
// attempt passes on one less than the attempt before it. In a chain of depth L
// with allowance A in which every attempt at every level fails, at most
// C(L+A+1, A+1)-1 attempts are made. Two attempts at every level without the
// allowance would make 2^(L+1)-2. Attempts that were refused before they ran
// cause no nested calls and do not count against the allowance.
package retry
