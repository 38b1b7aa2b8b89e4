// Package world has the stand-ins of the review's scripts: the platform, which starts nodes
// and writes their settings, its store, application instances and clients.
package world

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the site shelterbook.
const (
	ContactTime = 3 * time.Second
	DrainTime   = 2 * time.Second
	// graceTime is how long a process may take to end after SIGTERM.
	graceTime = 6 * time.Second
	// timeLimit ends a script that has not ended by itself.
	timeLimit = 115 * time.Second
)

// World is one small deployment on loopback addresses.
type World struct {
	Store   *Store
	Nodes   []*Node
	Trouble bool
	// MoreBounds are bounds of the settings besides those of the site shelterbook, such as
	// `"exposure_ratio=0.1"`.
	MoreBounds []string

	dir     string
	program string
	began   time.Time

	mu     sync.Mutex
	record *os.File
	all    []*Node // also those that are not in Nodes at the moment
	closed bool
}

// Node is one machine of the platform with the node's process.
type Node struct {
	World   *World
	Name    string
	IP      string
	Zone    string
	Service string

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	wanted    bool // the exit is the script's doing
	StartedAt time.Time
	ended     error // an exit that nobody caused
}

const (
	portPeers     = 7620
	portCallers   = 8304
	portInbound   = 8300
	portReadiness = 8302
	portControl   = 8306
	portApp       = 8301
)

// New prepares a deployment with its store. The record goes to record.txt in the folder of
// the case.
func New(caseDir string) (*World, error) {
	root, err := filepath.Abs(filepath.Join(caseDir, "..", ".."))
	if err != nil {
		return nil, err
	}
	w := &World{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), program: filepath.Join(root, "target", "zinniafalld")}
	if _, err := os.Stat(w.program); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if w.record, err = os.Create(filepath.Join(caseDir, "record.txt")); err != nil {
		_ = os.RemoveAll(w.dir)
		return nil, err
	}
	if w.Store, err = StartStore("127.0.0.1"); err != nil {
		w.Close()
		return nil, err
	}
	w.Log("store at %s, trouble %t", w.Store.Addr, w.Trouble)
	go w.guard()
	return w, nil
}

// guard ends the script, with all that it has started, at a signal or after the time limit.
func (w *World) guard() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	reason := fmt.Sprintf("not over after %s", timeLimit)
	select {
	case s := <-signals:
		reason = s.String()
	case <-time.After(timeLimit):
	}
	w.Log("the case could not run: %s", reason)
	fmt.Println("the case could not run:", reason)
	w.Close()
	os.Exit(2)
}

// Log writes one line to the record.
func (w *World) Log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the time of an event in the record.
func (w *World) Since(t time.Time) float64 { return t.Sub(w.began).Seconds() }

// Close ends all processes and removes the temporary folder.
func (w *World) Close() {
	w.mu.Lock()
	w.closed = true
	all := w.all
	w.mu.Unlock()
	for _, n := range all {
		n.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
	_ = w.record.Close()
}

// freeIP returns a loopback address on which the ports of a machine are free.
func freeIP() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
		free := true
		for _, port := range []int{portPeers, portCallers, portInbound, portReadiness, portControl, portApp, 9464} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", errors.New("no loopback address has free ports")
}

// AddNode adds a machine. Its process is started by Start.
func (w *World) AddNode(name, zone, service string) (*Node, error) {
	ip, err := freeIP()
	if err != nil {
		return nil, err
	}
	n := &Node{World: w, Name: name, IP: ip, Zone: zone, Service: service}
	w.Nodes = append(w.Nodes, n)
	w.mu.Lock()
	w.all = append(w.all, n)
	w.mu.Unlock()
	return n, nil
}

func (n *Node) addr(port int) string { return fmt.Sprintf("%s:%d", n.IP, port) }

// Outbound is where clients of the machine send their requests.
func (n *Node) Outbound() string { return n.addr(portCallers) }

// Control is where the instance of the machine sends its heartbeats.
func (n *Node) Control() string { return n.addr(portControl) }

// App is the address of the instance.
func (n *Node) App() string { return n.addr(portApp) }

// settings returns the settings file as the platform writes it.
func (n *Node) settings() string {
	zones := map[string]bool{}
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\nrole = \"node\"\nmachine_class = \"sidecar\"\nserves = [\"sidecar\"]\nip = %q\nzone = %q\nregion = \"new-england\"\n", n.Name, n.IP, n.Zone)
	fmt.Fprintf(&b, "port_range = [%d,%d]\nseed_nodes = []\nbootstrap = true\ncounts_as_loss = false\ndiscovery = \"static\"\nentry = \"static\"\nheartbeat_ms = 1500\n", portPeers, portPeers+15)
	b.WriteString(`contracts = ["base","drain","config","cost","retry","recover","health","places","platform"]
bounds = ["seed_lag_s=3","addr_reuse_s=2","contact_ms=3000","ack_ms=4000","catch_up_s=4","drain_ms=2000","grace_s=6","loss_slack_ms=200","config_apply_ms=2000","downgrade_slack_ms=250","max_stretch_ms=5000","retry_budget_ratio=0.2","budget_window_s=10","retry_slack=62","warmup_overshoot=1.5","warmup_slack=5","evacuation_ms=5000","recovery_s=15","probes_per_s=60"`)
	for _, bound := range n.World.MoreBounds {
		fmt.Fprintf(&b, ",%q", bound)
	}
	b.WriteString("]\n")
	fmt.Fprintf(&b, "app_addr = %q\nservice = %q\n[zones]\n", n.App(), n.Service)
	for _, other := range n.World.Nodes {
		if !zones[other.Zone] {
			zones[other.Zone] = true
			fmt.Fprintf(&b, "%s = \"new-england\"\n", other.Zone)
		}
	}
	fmt.Fprintf(&b, "[listen]\ninbound = %q\noutbound = %q\nreadiness = %q\ncontrol = %q\n", n.addr(portInbound), n.Outbound(), n.addr(portReadiness), n.Control())
	b.WriteString("[limits]\ncpu_share = 0.32\ncpu_cores = 1\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n")
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n", n.World.Store.Addr)
	return b.String()
}

// Start starts the node's process with the command of the deploy file.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.World.isClosed() {
		return errors.New("the script ends")
	}
	file := filepath.Join(n.World.dir, n.Name+".toml")
	if err := os.WriteFile(file, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.World.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(n.World.program, "sidecar")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.World.dir, "LANG=C", "ZINNIAFALL_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.exited, n.wanted, n.StartedAt = cmd, make(chan struct{}), false, time.Now()
	n.World.Log("platform: process of %s started", n.Name)
	go func(exited chan struct{}) {
		err := cmd.Wait()
		_ = out.Close()
		n.mu.Lock()
		if !n.wanted {
			n.ended = fmt.Errorf("the process of %s ended by itself: %v", n.Name, err)
		}
		n.mu.Unlock()
		close(exited)
	}(n.exited)
	return nil
}

func (w *World) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// Ended returns an error if a process has ended by itself.
func (w *World) Ended() error {
	w.mu.Lock()
	all := w.all
	w.mu.Unlock()
	for _, n := range all {
		n.mu.Lock()
		err := n.ended
		n.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// Terminate ends the process with SIGTERM, and with SIGKILL after the grace time.
func (n *Node) Terminate() {
	n.mu.Lock()
	if n.cmd == nil {
		n.mu.Unlock()
		return
	}
	n.wanted = true
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	exited := n.exited
	n.mu.Unlock()
	n.World.Log("platform: SIGTERM to the process of %s", n.Name)
	select {
	case <-exited:
	case <-time.After(graceTime):
		n.Kill()
		n.World.Log("platform: process of %s killed at the end of its grace time", n.Name)
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (n *Node) Kill() {
	n.mu.Lock()
	if n.cmd == nil {
		n.mu.Unlock()
		return
	}
	n.wanted = true
	_ = n.cmd.Process.Kill()
	exited := n.exited
	n.mu.Unlock()
	<-exited
}

// Ready reports whether the node answers readiness questions with 200.
func (n *Node) Ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.addr(portReadiness) + "/v1/readiness")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all nodes are ready.
func (w *World) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range w.Nodes {
			if n.Ready() {
				ready++
			}
		}
		if ready == len(w.Nodes) {
			w.Log("platform: all nodes are ready")
			return nil
		}
	}
	return errors.New("the nodes did not become ready")
}

// Resource is one entry of a configuration.
type Resource struct {
	Type     string            `json:"resource_type"`
	Metadata map[string]string `json:"metadata"`
	Spec     map[string]any    `json:"spec"`
}

// Configure writes a configuration for the operator.
func (w *World) Configure(version uint32, resources ...Resource) {
	text := fmt.Sprintf("%08x", version)
	raw, _ := json.Marshal(map[string]any{"version": text, "base_version": fmt.Sprintf("%08x", version-1), "resources": resources})
	w.Store.Put("op/config", raw)
	w.Log("operator: configuration %s acknowledged", text)
}

// Route returns a route.
func Route(name, host, prefix, kind, service string, timeout time.Duration) Resource {
	return Resource{"routes", map[string]string{"name": name}, map[string]any{
		"host": host, "prefix": prefix, "route_type": kind, "timeout_ms": timeout.Milliseconds(), "target_latency_ms": timeout.Milliseconds() / 3,
		"priority": 1, "service": service, "max_attempts": 2,
	}}
}

// Service returns a service with the figures of the site shelterbook.
func Service(name string) Resource {
	return Resource{"services", map[string]string{"name": name}, map[string]any{
		"health_path": "/health", "max_connections": 260, "protocol": "h1", "tls": false, "warmup_s": 3, "cold_per_s": 29,
	}}
}

// Tenant returns a tenant with its keys and without a quota.
func Tenant(name string, keys ...string) Resource {
	return Resource{"tenants", map[string]string{"name": name}, map[string]any{"api_keys": keys, "priority": 1}}
}

// Limits returns the limits of callers.
func Limits() Resource {
	return Resource{"limits", map[string]string{"name": "limits"}, map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000, "idle_timeout_ms": 10000,
	}}
}
