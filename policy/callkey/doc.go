// Package callkey decides whether a non-idempotent call may start under a
// request key, so that a call that its caller resends runs at most once.
//
// Keys issued by nodes. A key contains the issuing process, a serial, the time
// of issue on the issuer's monotonic clock and the client account, and is
// authenticated by an HMAC whose secret is derived from the fleet's secret.
// Only the issuing process may start a call under its key, and it records the
// claim in memory before it sends the first byte. A call that arrives at
// another node is forwarded to the issuer, where a resend waits for the first
// request or gets its recorded answer. When the issuer is gone, nothing can
// run under the key and the outcome is reported as unknown. The right to start
// calls never moves to another process, so it depends on no clock, lease or
// consensus.
//
// Expiry. Claims are kept in buckets by the time of issue of their keys. A key
// past its time to live is refused. Once its bucket has been dropped it is
// refused whatever the clock says, so that dropping a claim never makes its
// key usable again.
//
// Keys made by callers. A Binder binds such a key to an issued one by a
// create-if-absent in the platform's store.
//
// "Not run" means that no copy of the request has run when the answer is
// given. A released key may still be used, by a resend or by a copy that was
// delayed in the network. A caller that wants to give up for good waits until
// the call's deadline has passed, after which no copy starts.
package callkey
