package placement

import (
	"math"
	"time"

	"zinniafall/policy/model"
)

const (
	// priorWeight is the share of one report in the mean of its service.
	priorWeight = 1.0 / 32
	// initialServiceTime is assumed until a report tells the service's own.
	initialServiceTime = 5 * time.Millisecond
	// initialLoad is the load for each slot assumed until a report is heard.
	initialLoad = 0.5
	// maxLoad bounds the load for each slot that one report adds to the mean.
	maxLoad = 16
	// maxSlowdown bounds the service time that one report adds to the mean,
	// as a multiple of that mean.
	maxSlowdown = 16
	// maxServiceTime bounds the service time believed of one target.
	maxServiceTime = time.Minute
	// maxStep bounds what one step of the sequence adds to the mean.
	maxStep = 64.0
	// maxRivals bounds the number of calls that one unseen call stands for.
	maxRivals = 4.0
	// believeState is the age up to which a report's state and limit bind.
	believeState = 3 * time.Second
	// failureWeight is the share of one outcome in the failure rate.
	failureWeight = 1.0 / 8
	// failureMemory is the time constant in which failures are forgotten.
	failureMemory = 2 * time.Second
	// failureCost is the time that a failed call counts for.
	failureCost = time.Second
	// firstBackoff and maxBackoff bound the time for which an unreachable
	// owner is left out.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// overdueWeight is the number of calls that the reported service time
	// counts for beside the ages of unanswered calls.
	overdueWeight = 2.0
	// waitVariance is the variance of the load around its expectation.
	waitVariance = 1.0
	// serviceMemory is the time constant, in service times, after which a
	// reported service time gives way to that of the service.
	serviceMemory = 5
)

// prior is the mean over a service's reports: what is believed of a target
// whose own report is missing or old.
type prior struct {
	load        float64 // calls for each admitted slot
	serviceTime float64 // nanoseconds
	failures    float64 // share of calls
	// senders is the number of entries that share a target, as the mean step
	// of Report.Sequence between the reports heard here.
	senders float64
	heard   bool
}

func newPrior() prior {
	return prior{load: initialLoad, serviceTime: float64(initialServiceTime), senders: 1}
}

// step learns from the difference between two sequence numbers.
func (m *prior) step(sequences uint64) {
	m.senders += priorWeight * (min(float64(sequences), maxStep) - m.senders)
}

// rivals returns the number of calls that one unseen call of this entry
// stands for: entries that saw the same report send at the same time.
func (m *prior) rivals() float64 {
	return min(m.senders, maxRivals)
}

// learn moves the means towards one report.
func (m *prior) learn(r *model.Report) {
	if r.Limit == 0 {
		return
	}
	load := min(held(r)/float64(r.Limit), maxLoad)
	serviceTime := min(float64(r.ServiceTime), maxSlowdown*m.serviceTime)
	weight := priorWeight
	if !m.heard {
		m.heard = true
		weight = 1
	}
	m.load += weight * (load - m.load)
	if serviceTime > 0 {
		m.serviceTime += weight * (serviceTime - m.serviceTime)
	}
}

// held returns the number of calls that the reporting owner holds.
func held(r *model.Report) float64 {
	return float64(r.InFlight) + float64(r.Queued)
}

// target is what the entry knows of one target.
type target struct {
	Target
	service   *service
	hash      uint64
	near      bool // in the own failure domain
	far       bool // in another region
	roundTrip time.Duration

	known  bool
	heard  time.Duration
	report model.Report
	// calls holds the times at which the unanswered calls were sent.
	calls []time.Duration
	// callsSum is the sum of calls.
	callsSum time.Duration
	// unseen counts the calls that the report cannot include.
	unseen int

	failures     float64
	rated        time.Duration
	backoff      time.Duration
	blockedUntil time.Duration
	probed       time.Duration
}

// hear takes a report unless it is from another process or out of sequence.
func (t *target) hear(at time.Duration, r *model.Report) bool {
	if t.Process != (model.ProcessID{}) && r.Process != t.Process {
		return false
	}
	if t.known && r.Process == t.report.Process && r.Sequence <= t.report.Sequence {
		return false
	}
	if t.known && r.Process == t.report.Process {
		t.service.prior.step(r.Sequence - t.report.Sequence)
	}
	t.known = true
	t.heard = at
	t.report = *r
	t.backoff = 0
	t.blockedUntil = 0
	t.recount()
	t.service.prior.learn(r)
	return true
}

// recount counts the unanswered calls that were still on their way when the
// last report was made.
func (t *target) recount() {
	t.unseen = 0
	made := t.heard - t.roundTrip
	for _, sent := range t.calls {
		if !t.known || sent > made {
			t.unseen++
		}
	}
}

// send records a call of this entry.
func (t *target) send(at time.Duration) {
	t.calls = append(t.calls, at)
	t.callsSum += at
	t.unseen++
	t.service.demand.calls++
}

// end removes the unanswered call that was sent closest to the given time.
func (t *target) end(sent time.Duration) {
	if len(t.calls) == 0 {
		return
	}
	closest := 0
	for i, call := range t.calls {
		if (call - sent).Abs() < (t.calls[closest] - sent).Abs() {
			closest = i
		}
	}
	last := len(t.calls) - 1
	t.callsSum -= t.calls[closest]
	t.calls[closest] = t.calls[last]
	t.calls = t.calls[:last]
	t.service.demand.calls--
	t.recount()
}

// fail records that the owner could not be reached. Calls that were under
// way together count once.
func (t *target) fail(at time.Duration) {
	if at < t.blockedUntil {
		return
	}
	t.backoff = min(max(2*t.backoff, firstBackoff), maxBackoff)
	t.blockedUntil = at + t.backoff
}

// state returns the last known state, from the report while it is recent.
func (t *target) state(at time.Duration) model.TargetState {
	if t.known && at-t.heard < believeState {
		return t.report.State
	}
	return t.State
}

// limit returns the number of calls that the owner admits.
func (t *target) limit(at time.Duration) float64 {
	if t.known && at-t.heard < believeState {
		return float64(t.report.Limit)
	}
	if t.State == model.TargetCold {
		return 1
	}
	return float64(max(t.Slots, 1))
}

// cold reports whether the owner admits fewer calls than the target has slots.
func (t *target) cold(at time.Duration) bool {
	return t.limit(at) < float64(max(t.Slots, 1))
}

// hasRoom reports whether one more call is within the owner's limit, as far as
// this entry knows. A report older than a call takes says nothing of calls in
// flight.
func (t *target) hasRoom(at time.Duration) bool {
	inFlight := float64(len(t.calls))
	if t.known && float64(at-t.heard) < t.serviceTime(at) {
		inFlight = max(inFlight, held(&t.report))
	}
	return inFlight+1 <= t.limit(at)
}

// accepts reports whether the target may take new work.
func (t *target) accepts(at time.Duration) bool {
	if at < t.blockedUntil {
		return false
	}
	switch t.state(at) {
	case model.TargetCold, model.TargetWarm:
		return t.limit(at) > 0
	}
	return false
}

// serviceTime returns the expected time of one call at the target, in
// nanoseconds, raised when calls of this entry stay unanswered.
func (t *target) serviceTime(at time.Duration) float64 {
	mean := t.service.prior.serviceTime
	if t.known && t.report.ServiceTime > 0 {
		own := float64(min(t.report.ServiceTime, maxServiceTime))
		trust := math.Exp(-float64(at-t.heard) / (serviceMemory * own))
		mean += trust * (own - mean)
	}
	n := len(t.calls)
	if n == 0 {
		return mean
	}
	ages := float64(time.Duration(n)*(at-t.roundTrip) - t.callsSum)
	overdue := (overdueWeight*mean + ages) / (overdueWeight + float64(n))
	return max(mean, overdue)
}

// predict returns the expected time until the answer to a call sent now, in
// nanoseconds.
func (t *target) predict(at time.Duration) float64 {
	limit := max(t.limit(at), 1)
	service := t.serviceTime(at)
	usual := t.service.prior.load * limit
	load := t.load(at, usual, service/limit)
	service *= crowding(load, usual, limit)
	wait := positivePart(load+1-limit, waitVariance) * service / limit
	failing := max(0, t.failureRate(at)-t.service.prior.failures)
	return float64(t.roundTrip) + service + wait + failing*float64(failureCost)
}

// load returns the expected number of calls that the target holds, given the
// usual number and the time between completions, in nanoseconds, when all
// slots are busy.
func (t *target) load(at time.Duration, usual, completion float64) float64 {
	load := usual
	if t.known {
		reported := held(&t.report)
		turnover := completion * max(1, float64(t.report.Limit), reported)
		trust := math.Exp(-float64(at-t.heard) / turnover)
		load += trust * (reported - load)
	}
	return max(load+t.service.prior.rivals()*float64(t.unseen), float64(len(t.calls)))
}

// crowding returns the factor by which a load above the usual one suggests
// that a call takes longer: where targets get equal shares, Little's law
// makes the load proportional to the service time. This shows a slow target
// before it has completed enough calls to report its service time.
func crowding(load, usual, limit float64) float64 {
	ratio := (limit + load) / (limit + usual)
	return ratio * ratio
}

// failureRate returns the recent share of calls that failed.
func (t *target) failureRate(at time.Duration) float64 {
	if t.failures == 0 {
		return 0
	}
	return t.failures * math.Exp(-float64(at-t.rated)/float64(failureMemory))
}

// positivePart approximates the mean of the positive part of a value with
// the given mean and variance.
func positivePart(mean, variance float64) float64 {
	return (mean + math.Sqrt(mean*mean+variance)) / 2
}
