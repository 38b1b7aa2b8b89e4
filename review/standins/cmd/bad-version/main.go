// Command bad-version checks the rule EXPOSURE: the operator rolls out a bad version of
// several small services at the same time. Nothing else is disturbed.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"sync"
	"time"

	"review/world"
)

const (
	host = "jepu9.example"
	// newDelay is the time from the order to the start of the new instances, coldTime how
	// long these are cold, and drainDelay the time from a rollback to their end.
	newDelay   = 800 * time.Millisecond
	coldTime   = 3 * time.Second
	drainDelay = 3 * time.Second
	// The bounds of the site shelterbook-now-grown.
	exposureRatio = 0.1
	exposureSlack = 50
	rollbackTime  = 5 * time.Second
	badAnswers    = 50
)

func main() { os.Exit(run(os.Args[1])) }

func run(dir string) int {
	w, err := world.New(dir)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer w.Close()
	broken, err := play(w)
	if err != nil {
		w.Log("the case could not run: %v", err)
		fmt.Println(err)
		return 2
	}
	if broken > 0 {
		return 1
	}
	return 0
}

// rollout is one service with the rollout of its version v2.
type rollout struct {
	kind
	world    *world.World
	service  string
	old, new []*world.Node
	clients  []*world.Clients

	mu        sync.Mutex
	olds      []*world.Instance
	news      []*world.Instance
	orderedAt time.Time
	status    string
	statusAt  time.Time
	started   time.Time // the start of the new nodes
	err       error     // the case could not run
}

const (
	badShare     = 0.5
	loadFrom     = 2
	settlingTime = 4 * time.Second
)

// kind is the rollout of one service.
type kind struct {
	// how is the way in which the new version is bad: errors or under_load.
	how string
	// duration is the time for the rollout, perNode the number of requests a second of the
	// clients on one machine, and work the work of a request.
	duration time.Duration
	perNode  float64
	work     time.Duration
	// instances is the number of instances of each version.
	instances int
}

var (
	// The figures of underLoad are those of the site: 332 requests a second for 31 instances.
	underLoad = kind{how: "under_load", duration: 16 * time.Second, perNode: 10.7, work: 90 * time.Millisecond, instances: 3}
	failsHalf = kind{how: "errors", duration: 12 * time.Second, perNode: 30, work: 30 * time.Millisecond, instances: 2}
	kinds     = []kind{underLoad, underLoad, failsHalf, failsHalf, failsHalf, failsHalf}
)

// answer returns how an instance of the version v2 answers.
func (o *rollout) answer() func(r *http.Request, running int) (int, int) {
	return func(_ *http.Request, running int) (int, int) {
		switch {
		case !o.world.Trouble,
			o.how == "under_load" && running < loadFrom,
			rand.Float64() >= badShare:
			return http.StatusOK, 1
		}
		return http.StatusInternalServerError, 1
	}
}

func play(w *world.World) (broken int, err error) {
	w.MoreBounds = []string{"exposure_ratio=0.1", "exposure_slack=50", "rollback_ms=5000"}
	var rollouts []*rollout
	resources := []world.Resource{world.Limits()}
	for k, kind := range kinds {
		o := &rollout{kind: kind, world: w, service: fmt.Sprintf("huvo%da", k)}
		for i := range 2 * o.instances {
			n, err := w.AddNode(fmt.Sprintf("sidecar-%d-%d", k, i), []string{"ne-a", "ne-b", "ne-c"}[i%3], o.service)
			if err != nil {
				return 0, err
			}
			if i < o.instances {
				o.old = append(o.old, n)
			} else {
				o.new = append(o.new, n)
			}
		}
		for _, c := range []struct{ path, kind string }{{"look", "safe"}, {"book", "unsafe"}} {
			resources = append(resources, world.Route(c.path+o.service, host, "/"+c.path+o.service+"/", c.kind, o.service, 1200*time.Millisecond))
		}
		resources = append(resources, world.Service(o.service))
		rollouts = append(rollouts, o)
	}
	w.Store.OnWrite = func(key string, value []byte) {
		for _, o := range rollouts {
			if key == "status/rollout/"+o.service {
				o.statusWritten(value)
			}
		}
	}
	w.Configure(7, resources...)
	all := w.Nodes
	w.Nodes = nil
	for _, o := range rollouts {
		w.Nodes = append(w.Nodes, o.old...)
	}
	for _, o := range rollouts {
		for i, n := range o.old {
			if err := n.Start(); err != nil {
				return 0, err
			}
			instance, err := world.StartAs(&world.Instance{Node: n, ID: fmt.Sprintf("i-%s-old-%d", o.service, i), Work: o.work, Version: "v1"})
			if err != nil {
				return 0, err
			}
			o.olds = append(o.olds, instance)
		}
	}
	if err := w.AwaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	w.Nodes = all
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	for _, o := range rollouts {
		for _, n := range o.old {
			for _, c := range []*world.Clients{
				{Node: n, Method: "GET", Host: host, Path: "/look" + o.service + "/2f", Deadline: 1200 * time.Millisecond, Every: perSecond(o.perNode * 0.7)},
				{Node: n, Method: "POST", Host: host, Path: "/book" + o.service + "/2f", Body: "shelter=12", Deadline: 1200 * time.Millisecond, Every: perSecond(o.perNode * 0.3)},
			} {
				o.clients = append(o.clients, c)
				running.Go(func() { c.Run(ctx) })
			}
		}
	}
	time.Sleep(settlingTime)
	var ended sync.WaitGroup
	for _, o := range rollouts {
		ended.Go(func() { o.err = o.play() })
	}
	ended.Wait()
	cancel()
	running.Wait()
	if err := w.Ended(); err != nil {
		return 0, err
	}
	for _, o := range rollouts {
		if o.err != nil {
			return 0, o.err
		}
		if o.status == "" {
			return 0, fmt.Errorf("no status of %s was written", o.service)
		}
	}
	for _, o := range rollouts {
		if o.judge() {
			broken++
		}
	}
	return broken, nil
}

func perSecond(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

// play orders the version and starts its instances, and waits for the end.
func (o *rollout) play() error {
	w := o.world
	o.mu.Lock()
	o.orderedAt = time.Now()
	o.mu.Unlock()
	value, _ := json.Marshal(map[string]any{"service": o.service, "target_version": "v2", "duration_s": o.duration.Seconds()})
	w.Store.Put("op/rollout/"+o.service, value)
	w.Log("operator: rollout of %s to v2 (bad: %s) within %s", o.service, o.how, o.duration)
	time.Sleep(newDelay)
	for i, n := range o.new {
		if err := n.Start(); err != nil {
			return err
		}
		instance := &world.Instance{Node: n, ID: fmt.Sprintf("i-%s-new-%d", o.service, i), Work: o.work, Version: "v2", Answer: o.answer(), ColdFor: coldTime}
		if _, err := world.StartAs(instance); err != nil {
			return err
		}
		o.mu.Lock()
		o.news = append(o.news, instance)
		o.started = n.StartedAt
		o.mu.Unlock()
	}
	time.Sleep(time.Until(o.orderedAt.Add(o.duration + drainDelay)))
	return nil
}

// statusWritten applies a status that the system wrote: at "completed" the old instances stop
// at once and their machines are removed; the clients go on at the new machines. At "rolled_back" the new ones would drain some seconds later; they stay until the end.
func (o *rollout) statusWritten(value []byte) {
	var status struct {
		Lifecycle string `json:"lifecycle"`
	}
	if json.Unmarshal(value, &status) != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if status.Lifecycle == o.status {
		return
	}
	o.status, o.statusAt = status.Lifecycle, time.Now()
	o.world.Log("status of %s: %s, %.1f s after the order", o.service, o.status, time.Since(o.orderedAt).Seconds())
	if o.status == "completed" {
		for i, c := range o.clients {
			c.Move(o.new[i/2%len(o.new)])
		}
		for i := range o.olds {
			go func() {
				o.olds[i].Stop()
				o.old[i].Terminate()
			}()
		}
	}
}

// judge applies the rule. Requests that a machine sends within the contact time after its
// start do not count, since it is not in touch.
func (o *rollout) judge() bool {
	w := o.world
	sent := map[string]world.Sent{}
	for _, c := range o.clients {
		for _, s := range c.Sent() {
			sent[s.ID] = s
		}
	}
	var all []world.Arrival
	for _, i := range o.olds {
		all = append(all, i.Arrivals()...)
	}
	reached, bad, badAll, late := 0, 0, 0, 0
	served := 0
	deadline := o.orderedAt.Add(o.duration)
	inTouch := o.started.Add(world.ContactTime)
	var ends []time.Time
	for _, i := range o.news {
		for _, a := range i.Arrivals() {
			all = append(all, a)
			if a.Bad {
				badAll++
				if !a.EndedAt.IsZero() {
					ends = append(ends, a.EndedAt)
				}
			}
		}
	}
	sort.Slice(all, func(a, b int) bool { return all[a].At.Before(all[b].At) })
	for _, a := range all {
		if a.At.After(o.orderedAt) && a.At.Before(deadline) {
			served++
		}
		s := sent[a.ID]
		w.Log("request %s %s sent %.3f on %s, reached %s at %.3f (ran %t, bad %t), answered %d", a.ID, a.Method, w.Since(s.At), s.Machine, a.Instance, w.Since(a.At), a.Ran, a.Bad, s.Status)
	}
	fiftieth := time.Time{}
	if len(ends) >= badAnswers {
		for i := range ends { // the 50th in time
			n := 0
			for _, e := range ends {
				if !e.After(ends[i]) {
					n++
				}
			}
			if n == badAnswers {
				fiftieth = ends[i]
			}
		}
	}
	for _, i := range o.news {
		for _, a := range i.Arrivals() {
			if a.At.After(inTouch) && a.At.Before(deadline) {
				reached++
				if a.Bad {
					bad++
				}
			}
			if !fiftieth.IsZero() && a.At.After(fiftieth.Add(rollbackTime+1200*time.Millisecond)) {
				late++
			}
		}
	}
	limit := exposureRatio*float64(served) + exposureSlack
	failed := 0
	for _, s := range sent {
		if s.Status != http.StatusOK && s.At.After(o.orderedAt) {
			failed++
		}
	}
	broken := o.world.Trouble && (float64(reached) > limit || late > 0) // the rule is about bad versions
	note := ""
	if broken {
		note = "  EXPOSURE"
	}
	how := o.how
	if !o.world.Trouble {
		how = "in no way"
	}
	text := fmt.Sprintf("%s (bad: %s): %s after %.1f s; v2 got %d requests from machines in touch, %.1f are allowed (%d in all); %d of its answers were bad; %d requests later than %s after its 50th bad answer; %d requests of clients failed%s",
		o.service, how, o.status, o.statusAt.Sub(o.orderedAt).Seconds(), reached, limit, served, badAll, late, rollbackTime, failed, note)
	o.world.Log("%s", text)
	fmt.Println(text)
	return broken
}
