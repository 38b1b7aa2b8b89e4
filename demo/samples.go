package demo

import "time"

// sampleInterval is the time between two readings of the targets' counts.
const sampleInterval = 50 * time.Millisecond

// sample is how many calls had started by a moment.
type sample struct {
	at time.Time
	// domain counts the calls in the failure domain that is taken out, total
	// those at all targets.
	domain, total int
}

// sampleWhile reads the targets' counts until the work returns.
func (f *fleet) sampleWhile(work func()) []sample {
	stop := make(chan struct{})
	read := make(chan []sample)
	go func() { read <- f.sampleUntil(stop) }()
	work()
	close(stop)
	return <-read
}

func (f *fleet) sampleUntil(stop <-chan struct{}) []sample {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	var samples []sample
	for {
		samples = append(samples, f.sample())
		select {
		case <-stop:
			return samples
		case <-ticker.C:
		}
	}
}

func (f *fleet) sample() sample {
	s := sample{at: time.Now()}
	for _, m := range f.nodes {
		calls := m.target.Counts().Calls
		s.total += calls
		if m.domain == f.plan.outDomain {
			s.domain += calls
		}
	}
	return s
}
