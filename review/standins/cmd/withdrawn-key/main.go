// Command withdrawn-key checks the rule CONFIG for withdrawn keys under strict revocation: right
// after a key was withdrawn, all processes are killed, and the store is away and comes back
// from an older copy.
package main

import (
	"context"
	"fmt"
	"os"
	"sort"
	"strconv"
	"sync"
	"time"

	"review/world"
)

const (
	service = "huvo11a"
	host    = "jepu9.example"
	// revokeTime is revoke_ms of the site ridgeback-mesh-grown.
	revokeTime = 5 * time.Second
	// The store is away for awayTime, and the operator writes again restoreTime after its
	// return.
	awayDelay   = 100 * time.Millisecond
	awayTime    = 4 * time.Second
	restoreTime = 1500 * time.Millisecond
	killDelay   = 500 * time.Millisecond
	restartTime = 500 * time.Millisecond
	observeTime = 9 * time.Second
	withdrawn   = "key-7c1e"
	valid       = "key-55d0"
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
	era, _ := strconv.ParseUint(os.Getenv("FIRST_ERA"), 10, 64)
	w.Store.Era = era
	w.MoreBounds = []string{"strict_revocation=true", "revoke_ms=5000"}
	for i, zone := range []string{"za-inland-a", "za-inland-a", "za-inland-b", "za-inland-b"} {
		if _, err := w.AddNode(fmt.Sprintf("sidecar-%s-%d", zone, i%2+1), zone, service); err != nil {
			return 0, err
		}
	}
	route := world.Route("r-ctnfzs9", host, "/lepu270/", "safe", service, 800*time.Millisecond)
	w.Configure(7, route, world.Service(service), world.Limits(), world.Tenant("acme", withdrawn, valid))
	var instances []*world.Instance
	for i, n := range w.Nodes {
		if err := n.Start(); err != nil {
			return 0, err
		}
		instance, err := world.StartInstance(n, fmt.Sprintf("i-%08x", 0x7f3a91c0+i), 40*time.Millisecond, nil)
		if err != nil {
			return 0, err
		}
		defer instance.Stop()
		instances = append(instances, instance)
	}
	if err := w.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	clients := map[string][]*world.Clients{}
	for _, n := range w.Nodes {
		for _, key := range []string{withdrawn, valid} {
			c := &world.Clients{Node: n, Method: "GET", Host: host, Path: "/lepu270/" + key, Deadline: 800 * time.Millisecond, Every: 100 * time.Millisecond, Key: key}
			clients[key] = append(clients[key], c)
			running.Go(func() { c.Run(ctx) })
		}
	}
	time.Sleep(5 * time.Second)
	w.Store.KeepCopy()
	time.Sleep(500 * time.Millisecond)
	withdraw := func() {
		w.Configure(8, route, world.Service(service), world.Limits(), world.Tenant("acme", valid))
	}
	withdraw()
	ackedAt := time.Now()
	if w.Trouble {
		time.Sleep(awayDelay)
		w.Store.GoAway()
		awayAt := time.Now()
		w.Log("store: away")
		time.Sleep(time.Until(ackedAt.Add(killDelay)))
		for _, n := range w.Nodes {
			n.Kill()
		}
		w.Log("platform: all processes killed")
		time.Sleep(restartTime)
		for _, n := range w.Nodes {
			if err := n.Start(); err != nil {
				return 0, err
			}
		}
		time.Sleep(time.Until(awayAt.Add(awayTime)))
		w.Store.Return()
		w.Log("store: back from a copy, Store-Era %d", era+1)
		time.Sleep(restoreTime)
		withdraw()
	}
	time.Sleep(time.Until(ackedAt.Add(observeTime)))
	cancel()
	running.Wait()
	if err := w.Ended(); err != nil {
		return 0, err
	}
	return judge(w, clients, instances, ackedAt), nil
}

// judge counts the requests with the withdrawn key that were sent later than the revocation time
// after the acknowledgement, and ran.
func judge(w *world.World, clients map[string][]*world.Clients, instances []*world.Instance, ackedAt time.Time) (broken int) {
	sent, keys := map[string]world.Sent{}, map[string]string{}
	for key, list := range clients {
		for _, c := range list {
			for _, s := range c.Sent() {
				sent[s.ID], keys[s.ID] = s, key
			}
		}
	}
	var all []world.Arrival
	for _, i := range instances {
		all = append(all, i.Arrivals()...)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].At.Before(all[b].At) })
	for _, a := range all {
		s, note := sent[a.ID], ""
		if a.Ran && keys[a.ID] == withdrawn && s.At.After(ackedAt.Add(revokeTime)) {
			broken++
			note = fmt.Sprintf("  CONFIG: sent %.3f s after the acknowledgement", s.At.Sub(ackedAt).Seconds())
		}
		w.Log("request %s with %s sent %.3f on %s, reached %s at %.3f (ran %t), answered %d%s", a.ID, keys[a.ID], w.Since(s.At), s.Machine, a.Instance, w.Since(a.At), a.Ran, s.Status, note)
	}
	text := fmt.Sprintf("%d requests sent; %d with the withdrawn key ran, sent later than %s after its withdrawal was acknowledged (at %.3f)", len(sent), broken, revokeTime, w.Since(ackedAt))
	w.Log("%s", text)
	fmt.Println(text)
	return broken
}
