package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["foreign-heartbeat"] = playForeignHeartbeat
	cases["late-heartbeat"] = playLateHeartbeat
}

// routeFleet is a deployment of two services on three machines: m1 and m2 in one zone, m3 in
// another. Clients are on m1.
type routeFleet struct {
	e          *env
	m1, m2, m3 *machine
	p1, p2, b3 *instance // of permits beside m1 and m2, of bookings beside m3

	mu      sync.Mutex
	byID    map[string]string // the service to which the configuration sends a request
	answers map[int]int
	stop    chan struct{}
	wg      sync.WaitGroup
}

func newRouteFleet(e *env) (*routeFleet, error) {
	store, err := e.store()
	if err != nil {
		return nil, err
	}
	store.put("op/config", configDocument(7, []routeSpec{
		{"reserve", "bookings.example", "/reserve/", "unsafe", "bookings", 1000, 400, 2},
		{"pay", "permits.example", "/pay/", "unsafe", "permits", 1000, 400, 2},
	}, "bookings", "permits"))
	f := &routeFleet{e: e, byID: map[string]string{}, answers: map[int]int{}, stop: make(chan struct{})}
	var err1, err2, err3 error
	f.m1, err1 = e.machine("side-a-1", "z-a", "permits", store)
	f.m2, err2 = e.machine("side-a-2", "z-a", "permits", store)
	f.m3, err3 = e.machine("side-b-1", "z-b", "bookings", store)
	if err1 != nil || err2 != nil || err3 != nil {
		return nil, fmt.Errorf("%v %v %v", err1, err2, err3)
	}
	f.p1 = newInstance(f.m1, "i-1aaaaaaa", "permits", 30*time.Millisecond, e.record)
	f.b3 = newInstance(f.m3, "i-3ccccccc", "bookings", 30*time.Millisecond, e.record)
	for _, start := range []func() error{f.m1.start, f.m3.start, f.p1.start, f.b3.start} {
		if err := start(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// startP2 starts an instance of permits beside m2.
func (f *routeFleet) startP2() error {
	f.p2 = newInstance(f.m2, "i-2bbbbbbb", "permits", 30*time.Millisecond, f.e.record)
	return f.p2.start()
}

// startClients sends about 20 reservations and 20 payments a second to m1.
func (f *routeFleet) startClients() {
	c := newClient(f.m1, f.e.record)
	for range 4 {
		for kind, path := range map[string]string{"bookings": "/reserve/42", "permits": "/pay/42"} {
			f.wg.Add(1)
			go func() {
				defer f.wg.Done()
				for {
					select {
					case <-f.stop:
						return
					case <-time.After(200 * time.Millisecond):
					}
					r := c.send("POST", kind+".example", path, []byte("one "+kind), time.Second)
					f.mu.Lock()
					f.byID[r.id] = kind
					f.answers[r.status]++
					f.mu.Unlock()
				}
			}()
		}
	}
}

// judge stops the clients and looks for requests that another service ran than the
// configuration says.
func (f *routeFleet) judge(instances ...*instance) (verdict, error) {
	close(f.stop)
	f.wg.Wait()
	time.Sleep(300 * time.Millisecond)
	wrong, total, first := 0, 0, ""
	var from, to time.Time
	for _, i := range instances {
		for _, r := range i.allRuns() {
			total++
			kind, ok := f.byID[r.id]
			if !ok || kind == r.service {
				continue
			}
			wrong++
			if from.IsZero() {
				from = r.at
				first = fmt.Sprintf("the first: request %s for %s, run by %s of %s", r.id, kind, r.instance, r.service)
			}
			to = r.at
		}
	}
	f.e.record.add("answers by status: %v", f.answers)
	if total < 100 {
		return verdict{}, fmt.Errorf("only %d requests ran", total)
	}
	if wrong > 0 {
		return verdict{true, fmt.Sprintf("ROUTE: %d of %d runs, over %.1f s, were by a service to which no configuration sends the request; %s", wrong, total, to.Sub(from).Seconds(), first)}, nil
	}
	return verdict{false, fmt.Sprintf("all %d runs were by the service of the request's route", total)}, nil
}

// playForeignHeartbeat: another writer sends one heartbeat, in which fields are missing, to a
// node beside a sound instance.
func playForeignHeartbeat(e *env) (verdict, error) {
	f, err := newRouteFleet(e)
	if err != nil {
		return verdict{}, err
	}
	if err := f.m2.start(); err != nil {
		return verdict{}, err
	}
	if err := f.startP2(); err != nil {
		return verdict{}, err
	}
	if err := awaitReady(15*time.Second, f.m1, f.m2, f.m3); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	f.startClients()
	time.Sleep(3 * time.Second)
	if e.trouble {
		foreign := &instance{m: f.m2, id: "i-4f0e19a0"}
		raw, _ := json.Marshal(map[string]any{
			"address": f.m2.app, "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "bookings", "capacity": 12},
			"status": map[string]any{"lifecycle": "ready", "seq": 1},
		})
		status := foreign.post(raw)
		e.record.add("another writer sends a heartbeat of %s, without zone, version and warmup_left_ms, to %s: %d; %s", foreign.id, f.m2.name, status, raw)
	}
	time.Sleep(15 * time.Second)
	return f.judge(f.p1, f.p2, f.b3)
}

// playLateHeartbeat: the machine m2 is removed with its instance, which is one of bookings, and
// a machine with an instance of permits gets its address. The node there is killed and comes
// back. Then the last heartbeat of the former instance arrives.
func playLateHeartbeat(e *env) (verdict, error) {
	f, err := newRouteFleet(e)
	if err != nil {
		return verdict{}, err
	}
	f.m2.service = "bookings"
	if err := f.m2.start(); err != nil {
		return verdict{}, err
	}
	old := newInstance(f.m2, "i-0ddddddd", "bookings", 30*time.Millisecond, e.record)
	if err := old.start(); err != nil {
		return verdict{}, err
	}
	if err := awaitReady(15*time.Second, f.m1, f.m2, f.m3); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	f.startClients()
	time.Sleep(2 * time.Second)
	late := old.message(old.nextSeq())
	sent := time.Now()
	old.crash()
	f.m2.kill()
	e.record.add("%s loses power for good; a heartbeat of %s is under way", f.m2.name, old.id)
	time.Sleep(2500 * time.Millisecond) // addr_reuse_s is 2
	f.m2.service = "permits"
	if err := f.m2.start(); err != nil {
		return verdict{}, err
	}
	if err := awaitReady(10*time.Second, f.m2); err != nil {
		return verdict{}, err
	}
	if err := f.startP2(); err != nil {
		return verdict{}, err
	}
	<-f.p2.beaten
	e.record.add("%s has registered at the address that %s had", f.p2.id, old.id)
	if e.trouble {
		f.m2.kill()
		e.record.add("the node process on %s is killed", f.m2.name)
		time.Sleep(200 * time.Millisecond)
		if err := f.m2.start(); err != nil {
			return verdict{}, err
		}
		if err := awaitReady(10*time.Second, f.m2); err != nil {
			return verdict{}, err
		}
		status := old.post(late)
		e.record.add("the heartbeat of %s (%s) arrives at %s, %.1f s late: %d", old.id, old.service, f.m2.name, time.Since(sent).Seconds(), status)
	}
	time.Sleep(8 * time.Second)
	return f.judge(f.p1, f.p2, f.b3, old)
}
