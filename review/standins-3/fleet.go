package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// recorder writes record.txt and keeps what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	sent  map[string]sentRequest
	runs  map[string][]runRecord
	// answers are the status codes of the answers, 0 for a connection that ended without one.
	answers map[string]int
}

type sentRequest struct {
	at          time.Time
	method, uri string
	length      int
	sum         string
}

type runRecord struct {
	at          time.Time
	instance    string
	method, uri string
	length      int
	sum         string
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, began: time.Now(), sent: map[string]sentRequest{}, runs: map[string][]runRecord{}, answers: map[string]int{}}, nil
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *recorder) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) send(id, node, method, uri string, length int, sum string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id] = sentRequest{time.Now(), method, uri, length, sum}
	r.write("sent     %s at %s: %s %s, %d bytes, sha256 %.16s", id, node, method, uri, length, sum)
}

func (r *recorder) answer(id string, status int, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[id] = status
	r.write("answered %s: %d %s", id, status, detail)
}

func (r *recorder) run(id, instance, method, uri string, length int, sum string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], runRecord{time.Now(), instance, method, uri, length, sum})
	r.write("run      %s at %s: %s %s, %d bytes, sha256 %.16s", id, instance, method, uri, length, sum)
}

// machine is one machine with its node and instance.
type machine struct {
	name, zone, service, ip string
	zones, bounds           []string
	started                 bool // the whole system has started before
	instance                *instance
	slots                   int
	work                    time.Duration
	settings                string
	log                     string
	cmd                     *exec.Cmd
	exited                  chan struct{}
	out                     atomic.Bool
}

// contracts returns the parts of the rules that are in force, as the site's settings list them.
func (m *machine) contracts() string {
	if slices.Contains(m.bounds, "strict_revocation=true") {
		return `"base","drain","config","cost","retry","recover","health","pool","places","tenants","quota","platform"`
	}
	return `"base","drain","config","cost","retry","recover","health","places","platform"`
}

func (m *machine) outbound() string  { return m.ip + ":8304" }
func (m *machine) readiness() string { return m.ip + ":8302" }
func (m *machine) control() string   { return m.ip + ":8306" }
func (m *machine) app() string       { return m.ip + ":8301" }

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir      string
	binary   string
	prefix   string // of the addresses
	store    *store
	machines []*machine
	rec      *recorder
}

// newFleet starts the store at free addresses.
func newFleet(rec *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs("target/zinniafalld")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, binary: binary, rec: rec}
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		if f.store, err = startStore(f.prefix + "250:8309"); err == nil {
			return f, nil
		}
	}
	return nil, err
}

// add adds a machine and its instance. bounds are those of the site's settings.
func (f *fleet) add(zone, service string, zones []string, bounds []string, slots int, work time.Duration) (*machine, error) {
	n := len(f.machines) + 1
	m := &machine{name: fmt.Sprintf("sidecar-%s-%d", zone, n), zone: zone, service: service, ip: fmt.Sprintf("%s%d", f.prefix, n)}
	m.settings, m.log = filepath.Join(f.dir, m.name+".toml"), filepath.Join(f.dir, m.name+".log")
	m.zones, m.bounds = zones, bounds
	if err := f.writeSettings(m); err != nil {
		return nil, err
	}
	m.slots, m.work = slots, work
	if err := f.startInstance(m, 0); err != nil {
		return nil, err
	}
	f.machines = append(f.machines, m)
	return m, f.start(m)
}

// startInstance starts an instance of the machine's service, with a new id. One that starts
// during traffic is cold at first.
func (f *fleet) startInstance(m *machine, cold time.Duration) error {
	m.instance = &instance{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: m.service, zone: m.zone, addr: m.app(), control: m.control(), slots: m.slots, queue: 2 * m.slots, work: m.work, coldFor: cold, rec: f.rec}
	f.rec.logf("instance %s of %s starts beside %s", m.instance.id, m.service, m.name)
	return startInstance(m.instance)
}

// writeSettings writes the settings file of the machine, in one step.
func (f *fleet) writeSettings(m *machine) error {
	var zoneLines strings.Builder
	for _, z := range m.zones {
		fmt.Fprintf(&zoneLines, "%s = \"region-1\"\n", z)
	}
	quoted := make([]string, len(m.bounds))
	for i, b := range m.bounds {
		quoted[i] = fmt.Sprintf("%q", b)
	}
	text := fmt.Sprintf(`node = "%s"
role = "node"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "%s"
zone = "%s"
region = "region-1"
port_range = [7620,7635]
seed_nodes = []
bootstrap = %t
counts_as_loss = false
discovery = "static"
entry = "static"
heartbeat_ms = 1500
contracts = [%s]
bounds = [%s]
app_addr = "%s"
service = "%s"
[zones]
%s[listen]
inbound = "%s:8300"
outbound = "%s"
readiness = "%s"
control = "%s"
[limits]
cpu_share = 0.32
cpu_cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[platform]
address = "%s"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, m.name, m.ip, m.zone, !m.started, m.contracts(), strings.Join(quoted, ","), m.app(), m.service, zoneLines.String(), m.ip, m.outbound(), m.readiness(), m.control(), f.store.addr)
	next := m.settings + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, m.settings)
}

// start starts the node's program with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(f.binary, "sidecar")
	cmd.Env = []string{"ZINNIAFALL_NODE_FILE=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.exited = cmd, make(chan struct{})
	go func(done chan struct{}) { _ = cmd.Wait(); close(done) }(m.exited)
	return nil
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, m := range f.machines {
		for !m.ready() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

var readinessClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (m *machine) ready() bool {
	r, err := readinessClient.Get("http://" + m.readiness() + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// followReadiness asks a machine's node once a second, as the platform does, and records whether
// clients on that machine get new work: not after two misses, until the node answers 200 again.
func (f *fleet) followReadiness() {
	for _, m := range f.machines {
		m.started = true
		go func() {
			for misses := 0; ; time.Sleep(time.Second) {
				if m.ready() {
					misses = 0
				} else {
					misses++
				}
				m.out.Store(misses >= 2)
			}
		}()
	}
}

// mayUse reports whether clients on the machine get new work. They do anyway if fewer than half
// of the zone's nodes are in.
func (f *fleet) mayUse(m *machine) bool {
	in, all := 0, 0
	for _, other := range f.machines {
		if other.zone == m.zone {
			all++
			if !other.out.Load() {
				in++
			}
		}
	}
	return !m.out.Load() || 2*in < all
}

// close ends all processes that were started.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.RemoveAll(keep)
		_ = os.Rename(f.dir, keep)
		return
	}
	_ = os.RemoveAll(f.dir)
}
