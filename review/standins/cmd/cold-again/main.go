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

// services are two services alike.
var services = []string{"wuno96b", "wuno97b"}

const (
	host = "jepu9.example"
	// The traffic of an instance of `bookings` of the site shelterbook: 47.6 reservations
	// and 155 x 0.7 x 2 = 217 checks a second at 4 instances.
	reservesPerSecond = 11.9
	checksPerSecond   = 54.25
	// burstFactor and burstTime are those of the site's disruption `burst`.
	burstFactor = 1.7
	burstTime   = 3 * time.Second
	restTime    = 1500 * time.Millisecond
	// rounds is the number of bursts; none begins after lastRound.
	rounds    = 20
	lastRound = 86 * time.Second
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

// group is one of the services, with its machines, instances and clients.
type group struct {
	world   *world.World
	service string
	nodes   []*world.Node
	present []*world.Instance
	all     []*world.Instance
	clients []*world.Clients
	spans   []coldSpan
	running sync.WaitGroup
	err     error
}

func play(w *world.World) (broken int, err error) {
	resources := []world.Resource{world.Limits()}
	var groups []*group
	for _, service := range services {
		g := &group{world: w, service: service}
		for _, zone := range []string{"ne-a", "ne-b", "ne-c", "ne-d"} {
			n, err := w.AddNode("sidecar-"+service+"-"+zone, zone, service)
			if err != nil {
				return 0, err
			}
			g.nodes = append(g.nodes, n)
		}
		resources = append(resources, world.Service(service),
			world.Route("r-check-"+service, host, "/check-"+service+"/", "safe", service, 250*time.Millisecond),
			world.Route("r-reserve-"+service, host, "/reserve-"+service+"/", "unsafe", service, time.Second))
		groups = append(groups, g)
	}
	w.Configure(7, resources...)
	for _, g := range groups {
		for _, n := range g.nodes {
			if err := n.Start(); err != nil {
				return 0, err
			}
			i, err := g.start(n, 0)
			if err != nil {
				return 0, err
			}
			g.present = append(g.present, i)
		}
	}
	if err := w.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	var ended sync.WaitGroup
	for k, g := range groups {
		ended.Go(func() {
			time.Sleep(time.Duration(k) * 2 * time.Second)
			g.err = g.play()
		})
	}
	ended.Wait()
	if err := w.Ended(); err != nil {
		return 0, err
	}
	for _, g := range groups {
		if g.err != nil {
			return 0, g.err
		}
	}
	for _, g := range groups {
		broken += judge(w, g.clients, g.all, g.spans)
	}
	return broken, nil
}

// start starts an instance beside a node of the group.
func (g *group) start(n *world.Node, coldFor time.Duration) (*world.Instance, error) {
	i, err := world.StartAs(&world.Instance{Node: n, ID: fmt.Sprintf("i-%s-%08x", g.service, 0x7f3a91c0+len(g.all)), ColdRequests: maxColdRequests, ColdFor: coldFor,
		WorkOf: func(method string) time.Duration {
			if method == "POST" {
				return reserveWork
			}
			return checkWork
		}})
	if err == nil {
		g.all = append(g.all, i)
	}
	return i, err
}

// traffic starts clients on all machines of the group, at a share of the usual rate.
func (g *group) traffic(ctx context.Context, factor float64) {
	for _, n := range g.nodes {
		for _, c := range []*world.Clients{
			{Node: n, Method: "GET", Host: host, Path: "/check-" + g.service + "/2f", Deadline: 250 * time.Millisecond, Every: perSecond(checksPerSecond * factor)},
			{Node: n, Method: "POST", Host: host, Path: "/reserve-" + g.service + "/2f", Body: "shelter=12", Deadline: time.Second, Every: perSecond(reservesPerSecond * factor)},
		} {
			g.clients = append(g.clients, c)
			g.running.Go(func() { c.Run(ctx) })
		}
	}
}

// play has bursts one after the other, in each of which one instance becomes cold.
func (g *group) play() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.traffic(ctx, 1)
	time.Sleep(2 * time.Second)
	began := time.Now()
	for round := range rounds {
		if time.Since(began) > lastRound {
			break
		}
		burst, end := context.WithTimeout(ctx, burstTime)
		g.traffic(burst, burstFactor-1)
		g.world.Log("clients of %s: a burst of %.1f times the traffic for %s", g.service, burstFactor, burstTime)
		time.Sleep(500*time.Millisecond + rand.N(time.Second)) // at any moment
		at := round % len(g.present)
		if g.world.Trouble {
			g.spans = append(g.spans, coldSpan{g.present[at], time.Now()})
			g.present[at].TurnCold(coldTime)
		}
		<-burst.Done()
		end()
		time.Sleep(restTime)
		if g.present[at].Crashed() {
			time.Sleep(downTime)
			i, err := g.start(g.nodes[at], coldTime)
			if err != nil {
				return err
			}
			g.present[at] = i
			time.Sleep(coldTime + time.Second)
		}
	}
	cancel()
	g.running.Wait()
	for _, i := range g.all {
		if !i.Crashed() {
			i.Stop()
		}
	}
	return nil
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
	text := fmt.Sprintf("%s: %d requests sent; %d of %d cold times with more than %.1f requests in a second; %d reservations cut off by the crashes that followed", instances[0].Node.Service, len(sent), broken, len(spans), float64(bound), lost)
	w.Log("%s", text)
	fmt.Println(text)
	return broken
}
