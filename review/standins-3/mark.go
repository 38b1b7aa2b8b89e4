package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	keptKey, withdrawnKey = "key-that-stays", "key-that-goes"
	// storeAway is how long the store is away, from half a second after the key was taken away.
	storeAway = 4400 * time.Millisecond
	// writtenAgain is the time from the store's return until the operator has written again.
	writtenAgain = 1500 * time.Millisecond
	revokeTime   = 5 * time.Second // revoke_ms
)

func markConfiguration(version int, keys ...string) []byte {
	resources := []spec{route("r-dates", "/dates/", "safe", "calendar"), service("calendar"), limits()}
	for n, key := range keys {
		resources = append(resources, resource("tenants", fmt.Sprintf("tenant-%d", n), spec{"api_keys": []string{key}, "priority": 1}))
	}
	return configuration(version, resources...)
}

// runMark introduces tenants, takes a copy of the store right after that, takes the key of one
// tenant away, and lets the store return from the copy after all processes were killed.
func runMark(f *fleet, trouble bool) int {
	f.store.mu.Lock()
	f.store.era = 0 // no return so far
	if os.Getenv("FIRST_ERA") == "1" {
		f.store.era = 1
	}
	f.store.mu.Unlock()
	f.store.operatorPut("op/config", markConfiguration(5))
	zones := []string{"za-inland-a", "za-inland-b"}
	for n := range 4 {
		if _, err := f.add(zones[n%2], "calendar", zones, meshBounds, 12, 30*time.Millisecond); err != nil {
			f.rec.logf("not started: %v", err)
			return failed
		}
	}
	if !f.awaitReady(20 * time.Second) {
		f.rec.logf("the nodes did not become ready")
		return failed
	}
	f.followReadiness()
	time.Sleep(5 * time.Second)
	f.store.operatorPut("op/config", markConfiguration(7, keptKey, withdrawnKey))
	f.rec.logf("configuration 7 acknowledged: tenants")
	time.Sleep(50 * time.Millisecond)
	old, oldAt := f.store.copy(), time.Now()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	withdrawn := sync.Map{}
	for n := range 16 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
			key := keptKey
			if n%2 == 1 {
				key = withdrawnKey
			}
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(50+rand.IntN(100)) * time.Millisecond):
				}
				m := f.machines[n%len(f.machines)]
				if !f.mayUse(m) {
					continue
				}
				uri := fmt.Sprintf("/dates/%08x", rand.Uint32())
				if key == withdrawnKey {
					withdrawn.Store(uri, true)
				}
				time.Sleep(callWith(f.rec, client, m, http.MethodGet, uri, key))
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	f.store.operatorPut("op/config", markConfiguration(9, keptKey))
	takenAway := time.Now()
	f.rec.logf("configuration 9 acknowledged: the key %s is taken away", withdrawnKey)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		f.store.setBusy(true)
		f.rec.logf("the store goes away, all processes are killed")
		for _, m := range f.machines {
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range f.machines {
			if err := errors.Join(f.writeSettings(m), f.start(m)); err != nil {
				return failed
			}
		}
		time.Sleep(storeAway - 500*time.Millisecond)
		f.store.returnFrom(old)
		f.rec.logf("the store is back from a copy that is %.1f s old", time.Since(oldAt).Seconds())
		time.Sleep(writtenAgain)
		f.store.operatorPut("op/config", markConfiguration(9, keptKey))
		f.rec.logf("configuration 9 written again")
	}
	time.Sleep(7 * time.Second)
	close(stop)
	clients.Wait()
	code := f.rec.summarize()
	f.rec.mu.Lock()
	defer f.rec.mu.Unlock()
	late := 0
	for id, runs := range f.rec.runs {
		sent := f.rec.sent[id]
		if _, ok := withdrawn.Load(sent.uri); ok && sent.at.Sub(takenAway) > revokeTime && len(runs) > 0 {
			code, late = broken, late+1
			f.rec.write("CONFIG: %s with the key that was taken away was sent %.3f s after that and ran at %s; the client got %d", id, sent.at.Sub(takenAway).Seconds(), runs[0].instance, f.rec.answers[id])
		}
	}
	f.rec.write("%d requests with the key ran that were sent later than revoke_ms", late)
	return code
}
