// Package callkey decides whether a non-idempotent call may start under a
// request key, so that a call that its caller sends again runs at most once.
//
// Keys issued by nodes. A key names the process that issued it, a serial, the
// time of issue on the issuer's monotonic clock and the client account, and is
// authenticated by an HMAC whose secret is derived from the fleet's secret.
// Only the issuing process may start a call under its key: it records the
// claim in memory before the first byte leaves. A call that arrives at another
// node is carried to the issuer, where a second sending waits for the first
// one or gets its recorded answer. When the issuer is gone, nothing can run
// under the key and the answer is "unknown". Authority never moves, so no
// clock, lease or agreement takes part.
//
// Expiry. Claims are kept in buckets by the time of issue of their key. A key
// past its time to live is refused, and once its bucket was dropped it is
// refused whatever the clock says, so that forgetting a claim never frees it.
//
// Keys made by callers. The file binding.go decides how such a key is bound to
// an issued one by a create-if-absent in the platform's store.
//
// What "not run" means here: no sending of the request has run when the answer
// is given. A key that was released may still be used, by a resend or by a
// copy that was delayed on its way; a caller that wants to give up for good
// lets the call's deadline pass, after which no copy starts.
package callkey
