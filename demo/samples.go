package demo

import "time"

// sampleInterval is the time between two samples.
const sampleInterval = 50 * time.Millisecond

// sample holds how many calls had started at the targets by a point in time.
type sample struct {
	at time.Time
	// domain counts the calls in the failure domain that is taken out, total
	// those at all targets.
	domain, total int
}

// sampleWhile takes samples until work returns.
func (f *fleet) sampleWhile(work func()) []sample {
	stop := make(chan struct{})
	sampled := make(chan []sample)
	go func() { sampled <- f.sampleUntil(stop) }()
	work()
	close(stop)
	return <-sampled
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
	for _, m := range f.members {
		calls := m.target.Counts().Calls
		s.total += calls
		if m.domain == f.spec.outDomain {
			s.domain += calls
		}
	}
	return s
}
