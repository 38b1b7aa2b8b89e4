package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// shelterBounds are those of the sheet of the booking service.
var shelterBounds = []string{"seed_lag_s=3", "addr_reuse_s=2", "contact_ms=3000", "ack_ms=4000", "catch_up_s=4", "drain_ms=2000", "grace_s=6", "loss_slack_ms=200", "config_apply_ms=2000", "downgrade_slack_ms=250", "max_stretch_ms=5000", "retry_budget_ratio=0.2", "budget_window_s=10", "retry_slack=62", "warmup_overshoot=1.5", "warmup_slack=5", "evacuation_ms=5000", "recovery_s=15", "probes_per_s=60"}

const (
	// addrReuse is addr_reuse_s of the settings.
	addrReuse = 2 * time.Second
	// settingsToStart is the time from the change of the settings to the start of the instance.
	settingsToStart = 300 * time.Millisecond
	// reuseStep picks one machine of each service: three of nine, 0.33.
	reuseStep = 3
	coldTime  = 3 * time.Second // warmup_s
	reuseHost = "town.example"
)

func route(name, prefix, kind, service string) spec {
	return resource("routes", name, spec{"host": reuseHost, "prefix": prefix, "route_type": kind, "timeout_ms": 800, "target_latency_ms": 300, "priority": 1, "service": service, "max_attempts": 2})
}

// runReuse lets instances crash and gives their addresses to instances of another service after
// addr_reuse_s. The settings of the machine name the new service before the new instance starts.
func runReuse(f *fleet, trouble bool) int {
	f.store.operatorPut("op/config", configuration(5,
		route("r-dates", "/dates/", "safe", "calendar"), route("r-pay", "/pay/", "unsafe", "permits"), route("r-book", "/book/", "unsafe", "bookings"),
		service("calendar"), service("permits"), service("bookings"), limits()))
	serviceOf := map[string]string{"/dates/": "calendar", "/pay/": "permits", "/book/": "bookings"}
	zones := []string{"ne-a", "ne-b", "ne-c"}
	services := []string{"calendar", "permits", "bookings"}
	for n := range 9 {
		if _, err := f.add(zones[n%3], services[n/3], zones, shelterBounds, 12, 80*time.Millisecond); err != nil {
			f.rec.logf("not started: %v", err)
			return failed
		}
	}
	if !f.awaitReady(20 * time.Second) {
		f.rec.logf("the nodes did not become ready")
		return failed
	}
	f.followReadiness()
	time.Sleep(2 * time.Second)
	serviceAt := map[string]string{} // of each instance
	for _, m := range f.machines {
		serviceAt[m.instance.id] = m.service
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 36 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(50+rand.IntN(150)) * time.Millisecond):
				}
				prefix, method := "/dates/", http.MethodGet
				switch n % 3 {
				case 1:
					prefix, method = "/pay/", http.MethodPost
				case 2:
					prefix, method = "/book/", http.MethodPost
				}
				if m := f.machines[n%len(f.machines)]; f.mayUse(m) {
					time.Sleep(call(f.rec, client, m, method, prefix+fmt.Sprintf("%02x", rand.IntN(256))))
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	for n := 0; n < len(f.machines); n += reuseStep {
		m := f.machines[n]
		if trouble {
			f.rec.logf("instance %s of %s beside %s crashes", m.instance.id, m.service, m.name)
			m.instance.crash()
			time.Sleep(addrReuse + time.Duration(rand.IntN(500))*time.Millisecond)
			m.service = services[(n/3+1)%3]
			if err := f.writeSettings(m); err != nil {
				f.rec.logf("settings not written: %v", err)
				return failed
			}
			f.rec.logf("the settings of %s name %s", m.name, m.service)
			time.Sleep(settingsToStart)
			if err := f.startInstance(m, coldTime); err != nil {
				f.rec.logf("instance not started: %v", err)
				return failed
			}
			serviceAt[m.instance.id] = m.service
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	clients.Wait()
	code := f.rec.summarize()
	f.rec.mu.Lock()
	defer f.rec.mu.Unlock()
	for id, list := range f.rec.runs {
		for _, run := range list {
			for prefix, s := range serviceOf {
				if strings.HasPrefix(run.uri, prefix) && serviceAt[run.instance] != s {
					code = broken
					f.rec.write("ROUTE: %s %s %s, which goes to %s, ran at %s, an instance of %s, at %.3f; the client got %d", id, run.method, run.uri, s, run.instance, serviceAt[run.instance], run.at.Sub(f.rec.began).Seconds(), f.rec.answers[id])
				}
			}
		}
	}
	return code
}

// call sends one request without a body and reads the answer. It returns the time after which
// the client may come back.
func call(rec *recorder, client *http.Client, m *machine, method, uri string) time.Duration {
	return callWith(rec, client, m, method, uri, "")
}

// callWith is call with the key of a tenant, if it is not empty.
func callWith(rec *recorder, client *http.Client, m *machine, method, uri, key string) time.Duration {
	id := fmt.Sprintf("%016x", rand.Uint64())
	request, err := http.NewRequest(method, "http://"+m.outbound()+uri, nil)
	if err != nil {
		return 0
	}
	request.Host = reuseHost
	request.Header.Set("X-Zinniafall-Request-Id", id)
	request.Header.Set("X-Zinniafall-Deadline-Ms", "800")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	rec.send(id, m.name, method, uri, 0, emptySum)
	status, detail, wait := fetch(client, request, 800*time.Millisecond)
	rec.answer(id, status, detail)
	return wait
}
