// Package retry decides whether a failed call is sent again, and when a slow
// one is hedged.
//
// A call that certainly did not run may go to another owner at once, within
// its deadline, a limit of tries and a bucket that first tries fill. A call
// that may have run is sent again only if it is idempotent, or if it goes to
// the issuer of its request key, which runs it at most once. Such retries, and
// hedges, are paid from token buckets that only successes and a small steady
// rate fill, so that they fade when nothing succeeds.
//
// Nested calls. Each call carries an allowance: the number of further
// attempts that may still be added on the path from the first caller down to
// it. The first attempt of a call passes the allowance on undiminished; each
// further attempt has one less than the attempt before it. Of a chain of
// depth L with allowance A, in which every attempt at every level fails, at
// most C(L+A+1, A+1)-1 attempts are made, where every level trying twice
// without the allowance makes 2^(L+1)-2. Attempts that were refused before
// they ran lead to no nested calls and are not counted by the allowance.
package retry
