package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["refused"] = playRefused }

// playRefused: clients of one machine send uploads without a body to a service whose only
// instance is beside another machine, which freezes for less than a second.
func playRefused(e *env) (verdict, error) {
	store, err := e.store()
	if err != nil {
		return verdict{}, err
	}
	store.put("op/config", configDocument(7, []routeSpec{
		{"upload", "documents.example", "/up/", "upload", "documents", 2000, 400, 2},
	}, "documents", "portal"))
	m1, err1 := e.machine("side-a-1", "z-a", "portal", store)
	m2, err2 := e.machine("side-a-2", "z-a", "documents", store)
	if err1 != nil || err2 != nil {
		return verdict{}, fmt.Errorf("%v %v", err1, err2)
	}
	portal := newInstance(m1, "i-1aaaaaaa", "portal", 10*time.Millisecond, e.record)
	docs := newInstance(m2, "i-2bbbbbbb", "documents", 10*time.Millisecond, e.record)
	for _, m := range []*machine{m1, m2} {
		if err := m.start(); err != nil {
			return verdict{}, err
		}
	}
	for _, i := range []*instance{portal, docs} {
		if err := i.start(); err != nil {
			return verdict{}, err
		}
	}
	if err := awaitReady(15*time.Second, m1, m2); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	results := map[string]result{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	c := newClient(m1, e.record)
	for n := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(n) * 5 * time.Millisecond)
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				r := c.send("POST", "documents.example", "/up/7", nil, 500*time.Millisecond)
				mu.Lock()
				results[r.id] = r
				mu.Unlock()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	for range 6 {
		if e.trouble {
			m2.signal(syscall.SIGSTOP)
			e.record.add("platform: %s freezes", m2.name)
			time.Sleep(800 * time.Millisecond)
			m2.signal(syscall.SIGCONT)
			e.record.add("platform: %s wakes", m2.name)
		}
		time.Sleep(2 * time.Second)
	}
	close(stop)
	wg.Wait()
	time.Sleep(time.Second)
	runs := map[string]int{}
	for _, r := range docs.allRuns() {
		runs[r.id]++
	}
	refused, twice, answered, first := 0, 0, map[int]int{}, ""
	for id, r := range results {
		answered[r.status]++
		if (r.status == 503 || r.status == 429) && runs[id] > 0 {
			refused++
			if first == "" {
				first = fmt.Sprintf("the first: request %s was answered %d and ran", id, r.status)
			}
		}
	}
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	e.record.add("answers by status: %v; runs: %d, twice: %d", answered, len(runs), twice)
	if len(runs) < 50 {
		return verdict{}, fmt.Errorf("only %d requests ran", len(runs))
	}
	if refused+twice > 0 {
		return verdict{true, fmt.Sprintf("REFUSED: %d uploads were answered with a promise and ran; TWICE: %d; %s", refused, twice, first)}, nil
	}
	return verdict{false, fmt.Sprintf("%d uploads ran, none of them after a promise or twice", len(runs))}, nil
}
