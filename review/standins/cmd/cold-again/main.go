// Command cold-again checks the rule FAILBACK: instances become cold again at some moments,
// during bursts of traffic.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"sync"
	"time"

	"review/world"
)

const (
	service = "wuno96b"
	host    = "jepu9.example"
	// The traffic of an instance of `bookings` of the site shelterbook: 47.6 reservations
	// and 155 x 0.7 x 2 = 217 checks a second at 4 instances.
	reservesPerSecond = 11.9
	checksPerSecond   = 54.25
	// burstFactor and burstTime are those of the site's disruption `burst`.
	burstFactor = 1.7
	burstTime   = 5 * time.Second
	restTime    = 1500 * time.Millisecond
	// rounds is the number of bursts; none begins after lastRound.
	rounds    = 13
	lastRound = 92 * time.Second
	// The cold time, and the requests that a cold instance may get in a second: cold_per_s x
	// warmup_overshoot + warmup_slack.
	coldTime        = 3 * time.Second
	bound           = 29*1.5 + 5
	maxColdRequests = 48
	// downTime is how long a crashed instance is down.
	downTime    = 2 * time.Second
	checkWork   = 22 * time.Millisecond
	reserveWork = 120 * time.Millisecond
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

// coldSpan is one time for which an instance was cold.
type coldSpan struct {
	instance *world.Instance
	from     time.Time
}

func play(w *world.World) (broken int, err error) {
	zones := []string{"ne-a", "ne-b", "ne-c", "ne-d"}
	for _, zone := range zones {
		if _, err := w.AddNode("sidecar-"+zone+"-1", zone, service); err != nil {
			return 0, err
		}
	}
	w.Configure(7,
		world.Route("r-ctnfzs9", host, "/check/", "safe", service, 250*time.Millisecond),
		world.Route("r-89anu6w", host, "/reserve/", "unsafe", service, time.Second),
		world.Service(service), world.Limits())
	for _, n := range w.Nodes {
		if err := n.Start(); err != nil {
			return 0, err
		}
	}
	starts := 0
	start := func(n *world.Node) (*world.Instance, error) {
		starts++
		i, err := world.StartInstance(n, fmt.Sprintf("i-%08x", 0x7f3a91c0+starts), checkWork, nil)
		if err == nil {
			i.ColdRequests = maxColdRequests
			i.WorkOf = func(method string) time.Duration {
				if method == "POST" {
					return reserveWork
				}
				return checkWork
			}
		}
		return i, err
	}
	present := make([]*world.Instance, len(w.Nodes))
	var all []*world.Instance
	for i, n := range w.Nodes {
		if present[i], err = start(n); err != nil {
			return 0, err
		}
		all = append(all, present[i])
	}
	if err := w.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients []*world.Clients
	var running sync.WaitGroup
	traffic := func(ctx context.Context, factor float64) {
		for _, n := range w.Nodes {
			for _, c := range []*world.Clients{
				{Node: n, Method: "GET", Host: host, Path: "/check/2f", Deadline: 250 * time.Millisecond, Every: perSecond(checksPerSecond * factor)},
				{Node: n, Method: "POST", Host: host, Path: "/reserve/2f", Body: "shelter=12", Deadline: time.Second, Every: perSecond(reservesPerSecond * factor)},
			} {
				clients = append(clients, c)
				running.Go(func() { c.Run(ctx) })
			}
		}
	}
	traffic(ctx, 1)
	time.Sleep(2 * time.Second)
	var spans []coldSpan
	began := time.Now()
	for round := range rounds {
		if time.Since(began) > lastRound {
			break
		}
		burst, end := context.WithTimeout(ctx, burstTime)
		traffic(burst, burstFactor-1)
		w.Log("clients: a burst of %.1f times the traffic for %s", burstFactor, burstTime)
		time.Sleep(time.Second + rand.N(time.Second)) // at any moment
		at := round % len(present)
		if w.Trouble {
			spans = append(spans, coldSpan{present[at], time.Now()})
			present[at].TurnCold(coldTime)
		}
		<-burst.Done()
		end()
		time.Sleep(restTime)
		if present[at].Crashed() {
			time.Sleep(downTime)
			if present[at], err = start(w.Nodes[at]); err != nil {
				return 0, err
			}
			all = append(all, present[at])
			time.Sleep(time.Second)
		}
	}
	cancel()
	running.Wait()
	for _, i := range all {
		if !i.Crashed() {
			i.Stop()
		}
	}
	for _, n := range w.Nodes {
		if n.Ended != nil {
			return 0, n.Ended
		}
	}
	return judge(w, clients, all, spans), nil
}

func perSecond(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

// judge counts the times for which an instance was cold and got more requests in one second
// than the rule allows. A request counts if it was sent and arrived in that second.
func judge(w *world.World, clients []*world.Clients, instances []*world.Instance, spans []coldSpan) (broken int) {
	sent := map[string]world.Sent{}
	for _, c := range clients {
		for _, s := range c.Sent() {
			sent[s.ID] = s
		}
	}
	lost := 0
	for _, i := range instances {
		for _, a := range i.Arrivals() {
			s := sent[a.ID]
			w.Log("request %s %s sent %.3f on %s, reached %s at %.3f (ran %t), answered %d", a.ID, a.Method, w.Since(s.At), s.Machine, i.ID, w.Since(a.At), a.Ran, s.Status)
			if i.Crashed() && a.Ran && a.Method == "POST" && s.Status == 502 {
				lost++
			}
		}
	}
	for _, span := range spans {
		type visit struct{ sent, at time.Time }
		var visits []visit
		for _, a := range span.instance.Arrivals() {
			s := sent[a.ID]
			if !a.Misdirected && s.At.After(span.from) && a.At.Before(span.from.Add(coldTime)) {
				visits = append(visits, visit{s.At, a.At})
			}
		}
		sort.Slice(visits, func(a, b int) bool { return visits[a].sent.Before(visits[b].sent) })
		most := 0
		for k, first := range visits {
			n := 0
			for _, v := range visits[k:] {
				if v.at.Sub(first.sent) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
		note := ""
		if float64(most) > bound {
			broken++
			note = "  FAILBACK"
		}
		w.Log("instance %s, cold from %.3f: at most %d requests in a second, %.1f are allowed%s", span.instance.ID, w.Since(span.from), most, float64(bound), note)
	}
	text := fmt.Sprintf("%d requests sent; %d of %d cold times with more than %.1f requests in a second; %d reservations cut off by the crashes that followed", len(sent), broken, len(spans), float64(bound), lost)
	w.Log("%s", text)
	fmt.Println(text)
	return broken
}
