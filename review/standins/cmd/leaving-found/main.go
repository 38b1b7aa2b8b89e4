// Command leaving-found checks the rule DRAIN: an instance crashes and starts again with a new
// id. Heartbeats arrive some seconds late on its machine, so the node finds the new one by its
// health answer. The new instance deregisters, which the node acknowledges.
package main

import (
	"context"
	"fmt"
	"os"
	"sort"
	"sync"
	"time"

	"review/world"
)

const (
	service = "huvo11a"
	host    = "jepu9.example"
	// lateBy is how late the heartbeats of the instances on the first machine arrive.
	lateBy = 5 * time.Second
	// downTime is how long the crashed instance is down, servesFor how long the new one
	// serves before it leaves, and stayTime how long it serves after the acknowledgement.
	downTime  = 2 * time.Second
	servesFor = time.Second
	stayTime  = 6 * time.Second
	// coldTime is how long a new instance is cold; it bears what the rule FAILBACK allows then.
	coldTime        = 3 * time.Second
	maxColdRequests = 48
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

func play(w *world.World) (broken int, err error) {
	for i, zone := range []string{"ne-a", "ne-a", "ne-b", "ne-b"} {
		if _, err := w.AddNode(fmt.Sprintf("sidecar-%s-%d", zone, i%2+1), zone, service); err != nil {
			return 0, err
		}
	}
	w.Configure(7, world.Route("r-ctnfzs9", host, "/lepu270/", "safe", service, 800*time.Millisecond), world.Service(service), world.Limits())
	for _, n := range w.Nodes {
		if err := n.Start(); err != nil {
			return 0, err
		}
	}
	if err := w.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	late := func(int64) time.Duration { return lateBy }
	var instances []*world.Instance
	for i, n := range w.Nodes {
		arrives := late
		if i > 0 {
			arrives = nil
		}
		instance, err := world.StartInstance(n, fmt.Sprintf("i-%08x", 0x7f3a91c0+i), 60*time.Millisecond, arrives)
		if err != nil {
			return 0, err
		}
		defer instance.Stop()
		instances = append(instances, instance)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients []*world.Clients
	var running sync.WaitGroup
	for _, n := range w.Nodes {
		c := &world.Clients{Node: n, Method: "GET", Host: host, Path: "/lepu270/2f", Deadline: 800 * time.Millisecond, Every: 50 * time.Millisecond}
		clients = append(clients, c)
		running.Go(func() { c.Run(ctx) })
	}
	time.Sleep(8 * time.Second)

	// The disruption: the instance crashes and comes back with a new id. Without it, the first
	// instance is the one that leaves. The heartbeats of both are late.
	leaving := instances[0]
	if w.Trouble {
		leaving.Stop()
		time.Sleep(downTime)
		leaving, err = world.StartAs(&world.Instance{Node: w.Nodes[0], ID: "i-02d9e6b4", Work: 60 * time.Millisecond, Late: late, ColdFor: coldTime, ColdRequests: maxColdRequests})
		if err != nil {
			return 0, err
		}
		defer leaving.Stop()
		instances = append(instances, leaving)
	}
	time.Sleep(servesFor)
	ackedAt, err := leaving.Deregister()
	if err != nil {
		return 0, err
	}
	time.Sleep(time.Until(ackedAt.Add(stayTime)))
	cancel()
	running.Wait()
	if err := w.Ended(); err != nil {
		return 0, err
	}
	return judge(w, clients, instances, leaving, ackedAt), nil
}

// judge counts the requests that clients sent after the acknowledgement and that reached the
// instance later than the drain time after it. All machines were in touch all the while.
func judge(w *world.World, clients []*world.Clients, instances []*world.Instance, leaving *world.Instance, ackedAt time.Time) (broken int) {
	sent := map[string]world.Sent{}
	served := 0
	for _, c := range clients {
		for _, s := range c.Sent() {
			sent[s.ID] = s
			if s.Status == 200 {
				served++
			}
		}
	}
	var all []world.Arrival
	for _, i := range instances {
		all = append(all, i.Arrivals()...)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].At.Before(all[b].At) })
	bound := ackedAt.Add(world.DrainTime)
	for _, a := range all {
		s := sent[a.ID]
		note := ""
		if a.Instance == leaving.ID && !a.Misdirected && a.At.After(bound) && s.At.After(ackedAt) {
			broken++
			note = fmt.Sprintf("  DRAIN: %.3f s after the acknowledgement", a.At.Sub(ackedAt).Seconds())
		}
		w.Log("request %s sent %.3f on %s, reached %s at %.3f (ran %t), answered %d%s", a.ID, w.Since(s.At), s.Machine, a.Instance, w.Since(a.At), a.Ran, s.Status, note)
	}
	text := fmt.Sprintf("%d requests sent, %d served; %d reached %s later than %s after its leaving was acknowledged (at %.3f)",
		len(sent), served, broken, leaving.ID, world.DrainTime, w.Since(ackedAt))
	w.Log("%s", text)
	fmt.Println(text)
	return broken
}
