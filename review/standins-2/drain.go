package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["clock-step"] = playClockStep }

const (
	// clockStep is how far a machine's time of day jumps ahead, and stepTime for how long.
	clockStep = 2400 * time.Millisecond
	stepTime  = 6 * time.Second
	// The instance goes down and up by turns, from flapStart after the step on.
	flapStart  = 700 * time.Millisecond
	flapTime   = 6500 * time.Millisecond
	flapPeriod = 1400 * time.Millisecond
	// drainBound is drain_ms.
	drainBound = 2 * time.Second
)

// playClockStep: the time of day of a machine jumps ahead and back, while its instance goes down
// and up by turns. Later that instance leaves as planned.
func playClockStep(e *env) (verdict, error) {
	store, err := e.store()
	if err != nil {
		return verdict{}, err
	}
	store.put("op/config", configDocument(7, []routeSpec{
		{"reserve", "bookings.example", "/reserve/", "unsafe", "bookings", 1000, 400, 2},
	}, "bookings", "permits"))
	m1, err1 := e.machine("side-a-1", "z-a", "permits", store)
	m2, err2 := e.machine("side-a-2", "z-a", "bookings", store)
	m3, err3 := e.machine("side-b-1", "z-b", "bookings", store)
	if err1 != nil || err2 != nil || err3 != nil {
		return verdict{}, fmt.Errorf("%v %v %v", err1, err2, err3)
	}
	p1 := newInstance(m1, "i-1aaaaaaa", "permits", 30*time.Millisecond, e.record)
	b3 := newInstance(m3, "i-3ccccccc", "bookings", 120*time.Millisecond, e.record)
	starts := 0
	next := func(clock time.Duration) *instance {
		starts++
		i := newInstance(m2, fmt.Sprintf("i-2bbbbbb%d", starts), "bookings", 120*time.Millisecond, e.record)
		i.clock = clock
		return i
	}
	b2 := next(0)
	for _, start := range []func() error{m1.start, m2.start, m3.start, p1.start, b2.start, b3.start} {
		if err := start(); err != nil {
			return verdict{}, err
		}
	}
	// Four more machines, so that one is less than 0.15 of all.
	for n := range 4 {
		service := []string{"bookings", "permits"}[n%2]
		m, err := e.machine(fmt.Sprintf("side-b-%d", n+2), "z-b", service, store)
		if err != nil {
			return verdict{}, err
		}
		if err := m.start(); err != nil {
			return verdict{}, err
		}
		if err := newInstance(m, fmt.Sprintf("i-4eeeeee%d", n), service, 120*time.Millisecond, e.record).start(); err != nil {
			return verdict{}, err
		}
	}
	if err := awaitReady(15*time.Second, e.machines...); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	answers := map[int]int{}
	failedLate := 0
	var acknowledged time.Time
	stop := make(chan struct{})
	var wg sync.WaitGroup
	c := newClient(m1, e.record)
	for range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				r := c.send("POST", "bookings.example", "/reserve/42", []byte("one"), time.Second)
				mu.Lock()
				answers[r.status]++
				if !acknowledged.IsZero() && r.status != 200 {
					failedLate++
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if e.trouble {
		began := time.Now()
		until := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
		e.record.add("the time of day on %s jumps ahead by %v", m2.name, clockStep)
		back := time.AfterFunc(stepTime, func() { e.record.add("the time of day on %s jumps back", m2.name) })
		defer back.Stop()
		for down := flapStart; down < flapStart+flapTime; down += flapPeriod {
			until(down)
			b2.crash()
			up := down + flapPeriod/2
			until(up)
			b2 = next(0)
			if up < stepTime {
				b2.clock = clockStep
			}
			if err := b2.start(); err != nil {
				return verdict{}, err
			}
		}
	}
	time.Sleep(8 * time.Second)
	before := len(b2.allRuns())
	at := b2.drain()
	if at.IsZero() {
		return verdict{}, fmt.Errorf("the instance got no acknowledgement")
	}
	mu.Lock()
	acknowledged = at
	mu.Unlock()
	e.record.add("%s has its acknowledgement, after %d requests", b2.id, before)
	time.Sleep(drainBound + 6*time.Second)
	b2.crash()
	time.Sleep(500 * time.Millisecond)
	close(stop)
	wg.Wait()
	late, last := 0, time.Duration(0)
	for _, r := range b2.allRuns() {
		if d := r.at.Sub(at); d > drainBound {
			late++
			last = max(last, d)
		}
	}
	e.record.add("answers by status: %v; other than 200 after the acknowledgement: %d", answers, failedLate)
	if before < 20 {
		return verdict{}, fmt.Errorf("the instance ran only %d requests before it left", before)
	}
	if late > 0 {
		return verdict{true, fmt.Sprintf("DRAIN: %d requests reached %s later than drain_ms after the acknowledgement that it is draining, the last %.1f s after it; %d clients got another answer than 200", late, b2.id, last.Seconds(), failedLate)}, nil
	}
	return verdict{false, "no request reached the instance later than drain_ms after the acknowledgement"}, nil
}
