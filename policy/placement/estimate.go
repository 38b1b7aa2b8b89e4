package placement

import (
	"math"
	"time"

	"zinniafall/policy/model"
)

const (
	// meansWeight is the weight of one sample in the moving means of a
	// service.
	meansWeight = 1.0 / 32
	// initialServiceTime is assumed until a report states the service time.
	initialServiceTime = 5 * time.Millisecond
	// initialLoad is the load per slot assumed until a report arrives.
	initialLoad = 0.5
	// maxLoadSample caps the load per slot that one report adds to the
	// mean.
	maxLoadSample = 16
	// maxSlowdown caps the service time that one report adds to the mean,
	// as a multiple of that mean.
	maxSlowdown = 16
	// maxServiceTime caps the reported service time of one target.
	maxServiceTime = time.Minute
	// maxSequenceStep caps the difference between two sequence numbers that
	// is added to the mean.
	maxSequenceStep = 64.0
	// maxCompetingCalls caps the number of calls that one unreported call
	// stands for.
	maxCompetingCalls = 4.0
	// maxStateAge is the age up to which the state and limit of a report
	// are used.
	maxStateAge = 3 * time.Second
	// failureWeight is the weight of one result in the failure rate.
	failureWeight = 1.0 / 8
	// failureDecay is the time constant with which the failure rate decays.
	failureDecay = 2 * time.Second
	// failurePenalty is the time added to a prediction for a call that is
	// certain to fail.
	failurePenalty = time.Second
	// firstBackoff and maxBackoff bound the time for which an unreachable
	// owner gets no calls.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// reportedTimeWeight is the number of calls that the reported service
	// time counts as when it is averaged with the ages of unanswered calls.
	reportedTimeWeight = 2.0
	// loadVariance is the assumed variance of the load around its
	// expectation.
	loadVariance = 1.0
	// serviceTimeDecay is the time constant, in service times, with which a
	// reported service time decays to the mean of the service.
	serviceTimeDecay = 5
)

// serviceMeans holds moving means over the reports of a service. They are the
// prior for a target whose own report is missing or old.
type serviceMeans struct {
	load        float64 // calls for each admitted slot
	serviceTime float64 // nanoseconds
	failedShare float64 // share of calls
	// entries estimates how many entries share a target: the mean
	// difference of Report.Sequence between successive reports of one
	// target that this entry receives.
	entries   float64
	hasReport bool
}

func newServiceMeans() serviceMeans {
	return serviceMeans{load: initialLoad, serviceTime: float64(initialServiceTime), entries: 1}
}

// recordSequenceStep adds the difference between two sequence numbers to the
// mean.
func (m *serviceMeans) recordSequenceStep(sequences uint64) {
	m.entries += meansWeight * (min(float64(sequences), maxSequenceStep) - m.entries)
}

// competingCalls returns the number of calls that one unreported call of this
// entry stands for: entries that received the same report send at the same
// time.
func (m *serviceMeans) competingCalls() float64 {
	return min(m.entries, maxCompetingCalls)
}

// addReport adds one report to the means.
func (m *serviceMeans) addReport(r *model.Report) {
	if r.Limit == 0 {
		return
	}
	load := min(heldCalls(r)/float64(r.Limit), maxLoadSample)
	serviceTime := min(float64(r.ServiceTime), maxSlowdown*m.serviceTime)
	weight := meansWeight
	if !m.hasReport {
		m.hasReport = true
		weight = 1
	}
	m.load += weight * (load - m.load)
	if serviceTime > 0 {
		m.serviceTime += weight * (serviceTime - m.serviceTime)
	}
}

// heldCalls returns the number of calls that the reporting owner holds, in
// flight and queued.
func heldCalls(r *model.Report) float64 {
	return float64(r.InFlight) + float64(r.Queued)
}

// target holds the state that the entry keeps for one target.
type target struct {
	Target
	service     *service
	hash        uint64
	ownDomain   bool // in the entry's own failure domain
	otherRegion bool // in another region
	roundTrip   time.Duration

	hasReport  bool
	reportedAt time.Duration
	report     model.Report
	// unanswered holds the send times of the unanswered calls.
	unanswered []time.Duration
	// sendTimeSum is the sum of unanswered.
	sendTimeSum time.Duration
	// unreportedCalls counts the unanswered calls that the report cannot
	// include.
	unreportedCalls int

	failedShare   float64
	failedShareAt time.Duration
	backoff       time.Duration
	blockedUntil  time.Duration
	probedAt      time.Duration
}

// applyReport stores a report, unless it is from another process or out of
// sequence, and reports whether it did.
func (t *target) applyReport(at time.Duration, r *model.Report) bool {
	if t.Process != (model.ProcessID{}) && r.Process != t.Process {
		return false
	}
	if t.hasReport && r.Process == t.report.Process && r.Sequence <= t.report.Sequence {
		return false
	}
	if t.hasReport && r.Process == t.report.Process {
		t.service.serviceMeans.recordSequenceStep(r.Sequence - t.report.Sequence)
	}
	t.hasReport = true
	t.reportedAt = at
	t.report = *r
	t.backoff = 0
	t.blockedUntil = 0
	t.countUnreported()
	t.service.serviceMeans.addReport(r)
	return true
}

// countUnreported counts the unanswered calls that had not reached the owner
// when the last report was made.
func (t *target) countUnreported() {
	t.unreportedCalls = 0
	made := t.reportedAt - t.roundTrip
	for _, sent := range t.unanswered {
		if !t.hasReport || sent > made {
			t.unreportedCalls++
		}
	}
}

// addCall records that this entry sent a call.
func (t *target) addCall(at time.Duration) {
	t.unanswered = append(t.unanswered, at)
	t.sendTimeSum += at
	t.unreportedCalls++
	t.service.demand.unanswered++
}

// removeCall removes the unanswered call that was sent closest to the given time.
func (t *target) removeCall(sent time.Duration) {
	if len(t.unanswered) == 0 {
		return
	}
	closest := 0
	for i, call := range t.unanswered {
		if (call - sent).Abs() < (t.unanswered[closest] - sent).Abs() {
			closest = i
		}
	}
	last := len(t.unanswered) - 1
	t.sendTimeSum -= t.unanswered[closest]
	t.unanswered[closest] = t.unanswered[last]
	t.unanswered = t.unanswered[:last]
	t.service.demand.unanswered--
	t.countUnreported()
}

// backOff excludes the target for a time because its owner could not be
// reached. Calls that fail during the backoff do not extend it, so that
// concurrent failures count once.
func (t *target) backOff(at time.Duration) {
	if at < t.blockedUntil {
		return
	}
	t.backoff = min(max(2*t.backoff, firstBackoff), maxBackoff)
	t.blockedUntil = at + t.backoff
}

// state returns the last known state, taken from the report while that is
// recent.
func (t *target) state(at time.Duration) model.TargetState {
	if t.hasReport && at-t.reportedAt < maxStateAge {
		return t.report.State
	}
	return t.State
}

// limit returns the number of calls that the owner admits at once.
func (t *target) limit(at time.Duration) float64 {
	if t.hasReport && at-t.reportedAt < maxStateAge {
		return float64(t.report.Limit)
	}
	if t.State == model.TargetCold {
		return 1
	}
	return float64(max(t.Slots, 1))
}

// isCold reports whether the target is cold. The limit does not show that: owners keep warm
// targets below the knee of their latency curve, which is less than their slots.
func (t *target) isCold(at time.Duration) bool { return t.state(at) == model.TargetCold }

// hasRoom reports whether one more call is within the owner's limit, as far as
// this entry knows. The calls in flight of a report that is older than the
// service time are ignored.
func (t *target) hasRoom(at time.Duration) bool {
	inFlight := float64(len(t.unanswered))
	if t.hasReport && float64(at-t.reportedAt) < t.serviceTime(at) {
		inFlight = max(inFlight, heldCalls(&t.report))
	}
	return inFlight+1 <= t.limit(at) && t.startsIn(at) == 0
}

// startsIn returns the time until the owner is likely to let a further call start, as
// far as this entry knows: see model.Report.
func (t *target) startsIn(at time.Duration) time.Duration {
	if !t.hasReport || at-t.reportedAt >= maxStateAge {
		return 0
	}
	return max(t.report.StartsIn-(at-t.reportedAt), 0)
}

// accepts reports whether the target may get new calls.
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

// serviceTime returns the expected service time of one call at the target, in
// nanoseconds. It is the reported service time, which decays to the mean of the
// service as the report ages. Calls of this entry that stay unanswered can only
// raise it: their ages, without the round trip, are averaged with the expected
// time, which counts as reportedTimeWeight calls.
func (t *target) serviceTime(at time.Duration) float64 {
	mean := t.service.serviceMeans.serviceTime
	if t.hasReport && t.report.ServiceTime > 0 {
		own := float64(min(t.report.ServiceTime, maxServiceTime))
		trust := math.Exp(-float64(at-t.reportedAt) / (serviceTimeDecay * own))
		mean += trust * (own - mean)
	}
	n := len(t.unanswered)
	if n == 0 {
		return mean
	}
	ages := float64(time.Duration(n)*(at-t.roundTrip) - t.sendTimeSum)
	overdue := (reportedTimeWeight*mean + ages) / (reportedTimeWeight + float64(n))
	return max(mean, overdue)
}

// predictedTime returns the expected time until the answer to a call sent now,
// in nanoseconds.
func (t *target) predictedTime(at time.Duration) float64 {
	limit := max(t.limit(at), 1)
	service := t.serviceTime(at)
	usual := t.service.serviceMeans.load * limit
	load := t.load(at, usual, service/limit)
	service *= loadSlowdown(load, usual, limit)
	wait := positivePart(load+1-limit, loadVariance) * service / limit
	failing := max(0, t.failureRate(at)-t.service.serviceMeans.failedShare)
	wait = max(wait, float64(t.startsIn(at)))
	return float64(t.roundTrip) + service + wait + failing*float64(failurePenalty)
}

// load returns the expected number of calls that the target holds. Usual is the
// mean of the service, and completion the time between two completions, in
// nanoseconds, when all slots are busy.
func (t *target) load(at time.Duration, usual, completion float64) float64 {
	load := usual
	if t.hasReport {
		reported := heldCalls(&t.report)
		turnover := completion * max(1, float64(t.report.Limit), reported)
		trust := math.Exp(-float64(at-t.reportedAt) / turnover)
		load += trust * (reported - load)
	}
	return max(load+t.service.serviceMeans.competingCalls()*float64(t.unreportedCalls), float64(len(t.unanswered)))
}

// loadSlowdown returns the factor by which a load above the usual one suggests
// that a call takes longer. Where targets get equal shares of the calls,
// Little's law makes the load proportional to the service time. This detects a
// slow target before it has completed enough calls to report its service time.
func loadSlowdown(load, usual, limit float64) float64 {
	ratio := (limit + load) / (limit + usual)
	return ratio * ratio
}

// failureRate returns the recent share of failed calls.
func (t *target) failureRate(at time.Duration) float64 {
	if t.failedShare == 0 {
		return 0
	}
	return t.failedShare * math.Exp(-float64(at-t.failedShareAt)/float64(failureDecay))
}

// positivePart approximates the mean of the positive part of a value with
// the given mean and variance.
func positivePart(mean, variance float64) float64 {
	return (mean + math.Sqrt(mean*mean+variance)) / 2
}
