package quota

import (
	"time"

	"zinniafall/policy/model"
)

// holding is what an entry has of an account: tokens, and requests that wait for some.
type holding struct {
	hash    uint64
	lots    []lot
	demand  demand
	waiting []*Waiter
	// refused counts the requests refused since the last question, and refusedUntil is
	// when the rate has room for them.
	refused      int
	refusedUntil time.Time
	// deniedUntil is the end of the time for which the home had no tokens.
	deniedUntil time.Time
	// fallbacks are the times of the last window at which own tokens were used.
	fallbacks []time.Time
	// asking is set from when tokens are to be asked for until the question is sent, and
	// asked while it is on its way.
	asking, asked bool
	usedAt        time.Time
}

// lot is tokens of one grant.
type lot struct {
	tokens int
	until  time.Time
}

// Waiter is a request that waits for a token.
type Waiter struct {
	account model.Account
	since   time.Time
	notify  func(Verdict)
	done    bool
}

// Take takes a token for one request. If none is held, it returns a Waiter: notify is
// called with the verdict during a later call of the Node, unless GiveUp is called
// before. Outgoing returns what has to be sent then.
func (n *Node) Take(now time.Time, account model.Account, notify func(Verdict)) (Verdict, *Waiter) {
	limit, known := n.opts.Limit(account)
	if !known || limit.Rate <= 0 {
		return Verdict{Granted: true}, nil
	}
	h := n.holdings[account]
	if h == nil {
		h = &holding{hash: hashOf(string(account))}
		n.holdings[account] = h
	}
	h.usedAt = now
	h.demand.add(now, 1, entryDemandTime)
	if len(h.waiting) == 0 && h.take(now) {
		if expected := n.expected(now, h); expected >= 2 && float64(h.held(now)) < expected/4 && !now.Before(h.deniedUntil) {
			n.ask(now, account, h)
		}
		return Verdict{Granted: true}, nil
	}
	if now.Before(h.deniedUntil) {
		return n.refuse(now, h, limit), nil
	}
	w := &Waiter{account: account, since: now, notify: notify}
	h.waiting = append(h.waiting, w)
	if !n.ask(now, account, h) {
		h.waiting = h.waiting[:len(h.waiting)-1]
		return n.fallback(now, h, limit), nil
	}
	return Verdict{}, w
}

// GiveUp decides on a request that has waited for AnswerTimeout: it gets a token of
// this node's own, if there is one. A request whose caller left gives up, too.
func (n *Node) GiveUp(now time.Time, w *Waiter, left bool) Verdict {
	h := n.holdings[w.account]
	if h == nil || w.done {
		return Verdict{}
	}
	w.done = true
	for i, other := range h.waiting {
		if other == w {
			h.waiting = append(h.waiting[:i], h.waiting[i+1:]...)
			break
		}
	}
	limit, _ := n.opts.Limit(w.account)
	if left {
		return Verdict{}
	}
	if h.take(now) {
		return Verdict{Granted: true}
	}
	return n.fallback(now, h, limit)
}

// expected returns the number of requests expected in the time that is asked ahead
// for.
func (n *Node) expected(now time.Time, h *holding) float64 {
	return h.demand.get(now, entryDemandTime) * n.tokenTime.Seconds() * askAheadPart
}

func (h *holding) take(now time.Time) bool {
	for len(h.lots) > 0 {
		first := &h.lots[0]
		if first.tokens > 0 && now.Before(first.until) {
			first.tokens--
			return true
		}
		h.lots = h.lots[1:]
	}
	h.lots = nil
	return false
}

func (h *holding) held(now time.Time) int {
	total := 0
	for _, l := range h.lots {
		if now.Before(l.until) {
			total += l.tokens
		}
	}
	return total
}

// put adds the tokens of a grant. The lot that lapses first is used first.
func (h *holding) put(now time.Time, added lot) {
	if added.tokens <= 0 || !now.Before(added.until) {
		return
	}
	at := len(h.lots)
	for at > 0 && h.lots[at-1].until.After(added.until) {
		at--
	}
	h.lots = append(h.lots, lot{})
	copy(h.lots[at+1:], h.lots[at:])
	h.lots[at] = added
}

// refuse refuses a request over quota. Retry-After is the time until the rate has room
// for it, varied by a quarter.
func (n *Node) refuse(now time.Time, h *holding, limit Limit) Verdict {
	h.refused++
	n.refused++
	h.refusedUntil = later(h.refusedUntil, now).Add(seconds(1 / max(limit.Rate, 1e-3)))
	wait := min(h.refusedUntil.Sub(now), maxRetryAfter)
	if wait == maxRetryAfter {
		h.refusedUntil = now.Add(maxRetryAfter)
	}
	return Verdict{RetryAfter: max(min(n.spread(wait), maxRetryAfter), time.Millisecond)}
}

// spread varies a time by a quarter in both directions.
func (n *Node) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + n.rng.Float64()/2))
}

// fallback decides on a request for which no home was reached: by tokens of this node's
// own, of which all nodes together have a half of the overshoot in each window.
func (n *Node) fallback(now time.Time, h *holding, limit Limit) Verdict {
	window := n.opts.Window
	for len(h.fallbacks) > 0 && now.Sub(h.fallbacks[0]) >= window {
		h.fallbacks = h.fallbacks[1:]
	}
	whole := (limit.Rate*window.Seconds() + max(limit.Burst, 0)) * n.opts.Overshoot / 2
	if len(h.fallbacks) < int(whole/float64(n.fleetSize)) && !now.Before(n.ready) {
		h.fallbacks = append(h.fallbacks, now)
		return Verdict{Granted: true, Fallback: true}
	}
	v := n.refuse(now, h, limit)
	v.Fallback = true
	return v
}

// home returns the node to ask for an account's tokens: the first in its ranking that
// was not found to be unreachable, among the first maxCandidates. If there is none, it is
// the first in another failure domain, or "".
func (n *Node) home(now time.Time, account uint64) model.NodeAddr {
	var top [maxCandidates]struct {
		score uint64
		m     *member
	}
	top[0].score = score(n.hash, account)
	count := 1
	for _, m := range n.members {
		s := score(m.hash, account)
		at := count
		for at > 0 && top[at-1].score < s {
			at--
		}
		if at >= maxCandidates {
			continue
		}
		count = min(count+1, maxCandidates)
		copy(top[at+1:count], top[at:count-1])
		top[at].score, top[at].m = s, m
	}
	for _, c := range top[:count] {
		if c.m == nil {
			if !now.Before(n.skipSelfUntil) {
				return n.opts.Self
			}
			continue
		}
		if !now.Before(c.m.skipUntil) {
			return c.m.node
		}
	}
	for i := range n.domains {
		domain := n.domains[(i+int(account%uint64(len(n.domains))))%len(n.domains)]
		if first := reachable(now, n.remote[domain], account); first != nil {
			return first.node
		}
	}
	return ""
}

// ask notes that tokens of the account are to be asked for. It returns false if no home
// can be reached.
func (n *Node) ask(now time.Time, account model.Account, h *holding) bool {
	if h.asking || h.asked {
		return true
	}
	home := n.home(now, h.hash)
	if home == "" {
		return false
	}
	h.asking = true
	n.asks[home] = append(n.asks[home], account)
	n.dirty[home] = true
	return true
}

// settle gives the tokens held to the requests that wait, and asks again for the rest.
func (n *Node) settle(now time.Time, account model.Account, h *holding) {
	for len(h.waiting) > 0 && h.take(now) {
		n.resolve(h, Verdict{Granted: true})
	}
	if len(h.waiting) > 0 && !n.ask(now, account, h) {
		limit, _ := n.opts.Limit(account)
		for len(h.waiting) > 0 {
			n.resolve(h, n.fallback(now, h, limit))
		}
	}
}

// resolve tells the request that has waited longest.
func (n *Node) resolve(h *holding, v Verdict) {
	w := h.waiting[0]
	h.waiting[0] = nil
	h.waiting = h.waiting[1:]
	if len(h.waiting) == 0 {
		h.waiting = nil
	}
	w.done = true
	w.notify(v)
}

// granted applies the answer to an ask that was sent at a time.
func (n *Node) applyGrant(now, sentAt time.Time, ask Ask, grant Grant) {
	h := n.holdings[ask.Account]
	if h == nil {
		return
	}
	h.asked = false
	if grant.NotHome {
		n.settle(now, ask.Account, h)
		return
	}
	h.put(now, lot{tokens: min(grant.Tokens, maxExpected), until: sentAt.Add(n.tokenTime)})
	given := min(max(grant.Tokens, 0), ask.Need)
	for range given {
		if len(h.waiting) > 0 && h.take(now) {
			n.resolve(h, Verdict{Granted: true})
		}
	}
	if unmet := ask.Need - given; grant.Wait > 0 && unmet > 0 {
		n.deny(now, ask.Account, h, unmet, grant)
	}
	n.settle(now, ask.Account, h)
}

// deny refuses the requests that the home had no tokens for, and further ones for a
// while, in which the home's bucket keeps what it gets.
func (n *Node) deny(now time.Time, account model.Account, h *holding, unmet int, grant Grant) {
	limit, _ := n.opts.Limit(account)
	h.deniedUntil = now.Add(n.spread(min(grant.Pause, comeBackTime)))
	h.refusedUntil = later(h.refusedUntil, now.Add(min(grant.Wait, maxRetryAfter)))
	reported := h.refused
	for len(h.waiting) > 0 {
		n.resolve(h, n.refuse(now, h, limit))
	}
	// The home has counted those that it had no tokens for.
	h.refused = max(reported, h.refused-unmet)
}
