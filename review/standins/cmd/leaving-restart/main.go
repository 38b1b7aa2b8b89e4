// Command leaving-restart checks the rule DRAIN: an instance deregisters, which its node
// acknowledges; then the node's process is killed and restarted by the platform, and two
// heartbeats arrive that the instance had sent before and the network has held up.
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
	// lateBy is how late the last two heartbeats arrive, and stayTime how long the instance
	// serves after the acknowledgement.
	lateBy   = 4 * time.Second
	stayTime = 14 * time.Second
	// lastBeats are the sequence numbers of the late heartbeats, the last ones.
	firstLate = 5
	lastBeat  = 6
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
	w.Configure(7, world.Route("r-ctnfzs9", host, "/lepu270/", "unsafe", service, 1000*time.Millisecond), world.Service(service), world.Limits())
	for _, n := range w.Nodes {
		if err := n.Start(); err != nil {
			return 0, err
		}
	}
	var instances []*world.Instance
	for i, n := range w.Nodes {
		late := func(int64) time.Duration { return 0 }
		if i == 0 {
			late = func(seq int64) time.Duration {
				if seq >= firstLate {
					return lateBy
				}
				return 0
			}
		}
		instance, err := world.StartInstance(n, fmt.Sprintf("i-%08x", 0x7f3a91c0+i), 60*time.Millisecond, late)
		if err != nil {
			return 0, err
		}
		defer instance.Stop()
		instances = append(instances, instance)
	}
	began := time.Now()
	if err := w.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients []*world.Clients
	var running sync.WaitGroup
	for _, n := range w.Nodes {
		c := &world.Clients{Node: n, Method: "POST", Host: host, Path: "/lepu270/2f", Body: "shelter=12", Deadline: time.Second, Every: 50 * time.Millisecond}
		clients = append(clients, c)
		running.Go(func() { c.Run(ctx) })
	}
	// The instance leaves 0.5 s after its last heartbeat.
	time.Sleep(time.Until(began.Add((lastBeat-1)*world.HeartbeatInterval + 500*time.Millisecond)))
	node, leaving := w.Nodes[0], instances[0]
	ackedAt, err := leaving.Deregister()
	if err != nil {
		return 0, err
	}
	inTouch := ackedAt
	if w.Trouble {
		time.Sleep(300 * time.Millisecond)
		node.Kill()
		w.Log("platform: process of %s killed", node.Name)
		time.Sleep(500 * time.Millisecond)
		if err := node.Start(); err != nil {
			return 0, err
		}
		inTouch = node.StartedAt.Add(world.ContactTime)
	}
	time.Sleep(time.Until(ackedAt.Add(stayTime)))
	leaving.Stop() // it exits, as it has said
	time.Sleep(time.Second)
	cancel()
	running.Wait()
	if err := w.Ended(); err != nil {
		return 0, err
	}
	return judge(w, clients, instances, leaving, ackedAt, inTouch), nil
}

// judge counts the requests that reached the instance later than the drain time after the
// acknowledgement, sent by a client when all machines had been in touch since.
func judge(w *world.World, clients []*world.Clients, instances []*world.Instance, leaving *world.Instance, ackedAt, inTouch time.Time) (broken int) {
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
	cut := 0
	for _, a := range all {
		s := sent[a.ID]
		note := ""
		if a.Instance == leaving.ID && !a.Misdirected && a.At.After(bound) && s.At.After(inTouch) && s.At.After(ackedAt) {
			broken++
			note = fmt.Sprintf("  DRAIN: %.3f s after the acknowledgement", a.At.Sub(ackedAt).Seconds())
			if a.Ran && s.Status != 200 {
				cut++
				note += "; cut off when the instance exited"
			}
		}
		w.Log("request %s sent %.3f on %s, reached %s at %.3f (ran %t), answered %d%s", a.ID, w.Since(s.At), s.Machine, a.Instance, w.Since(a.At), a.Ran, s.Status, note)
	}
	text := fmt.Sprintf("%d requests sent, %d served; %d reached %s later than %s after its leaving was acknowledged (at %.3f), sent after %.3f by machines in touch; %d of these were cut off when it exited",
		len(sent), served, broken, leaving.ID, world.DrainTime, w.Since(ackedAt), w.Since(inTouch), cut)
	w.Log("%s", text)
	fmt.Println(text)
	return broken
}
