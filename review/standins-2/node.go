package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is one machine: its addresses and the process of the node on it.
type machine struct {
	name, zone, service string
	ip                  string
	store               string
	outbound, control   string
	readiness, app      string
	firstPort           int
	root, dir           string
	graceS              float64
	mu                  sync.Mutex
	cmd                 *exec.Cmd
	exited              chan struct{}
	extraArgs           []string
	shellPrefix         string
	record              *record
}

var usedIPs = map[string]bool{}

// pickIP returns a loopback address on which the ports of a node are free.
func pickIP() (string, error) {
	for range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(60), 1+rand.IntN(250), 1+rand.IntN(250))
		if usedIPs[ip] {
			continue
		}
		free := true
		for _, port := range []int{9464, 7620, 8300, 8301, 8302, 8304, 8306} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			usedIPs[ip] = true
			return ip, nil
		}
	}
	return "", errors.New("no loopback address with free ports")
}

func newMachine(root, dir, name, zone, service, store string, rec *record) (*machine, error) {
	ip, err := pickIP()
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	return &machine{
		name: name, zone: zone, service: service, ip: ip, store: store, outbound: at(8304), control: at(8306), readiness: at(8302), app: at(8301),
		firstPort: 7620, root: root, dir: dir, graceS: 6, record: rec,
	}, err
}

// writeSettings writes the settings file as DEPLOY.md shows it, with the figures of Shelterbook.
func (m *machine) writeSettings() error {
	text := fmt.Sprintf(`node = %q
role = "node"
machine_class = "sidecar"
serves = ["sidecar"]
ip = %q
zone = %q
region = "region-1"
port_range = [%d,%d]
seed_nodes = []
bootstrap = true
counts_as_loss = false
discovery = "static"
entry = "static"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","retry","recover","health","places","platform"]
bounds = ["seed_lag_s=3","addr_reuse_s=2","contact_ms=3000","ack_ms=4000","catch_up_s=4","drain_ms=2000","grace_s=%g","loss_slack_ms=200","config_apply_ms=2000","downgrade_slack_ms=250","max_stretch_ms=5000","retry_budget_ratio=0.2","budget_window_s=10","retry_slack=62","warmup_overshoot=1.5","warmup_slack=5","evacuation_ms=5000","recovery_s=15","probes_per_s=60"]
app_addr = %q
service = %q
[zones]
z-a = "region-1"
z-b = "region-1"
[listen]
inbound = "%s:8300"
outbound = %q
readiness = %q
control = %q
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
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, m.name, m.ip, m.zone, m.firstPort, m.firstPort+15, m.graceS, m.app, m.service, m.ip, m.outbound, m.readiness, m.control, m.store)
	return os.WriteFile(m.settingsPath(), []byte(text), 0o600)
}

func (m *machine) settingsPath() string { return filepath.Join(m.dir, m.name+".toml") }

// start starts the node with the command of the deploy file.
func (m *machine) start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(m.root, "target", "zinniafalld"), append([]string{"sidecar"}, m.extraArgs...)...)
	cmd.Dir = m.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ZINNIAFALL_NODE_FILE=" + m.settingsPath()}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	m.record.add("platform: node process started on %s (%s)", m.name, m.ip)
	return nil
}

// signal sends a signal to the node's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	cmd, exited := m.cmd, m.exited
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-exited:
		return
	default:
	}
	_ = cmd.Process.Signal(s)
}

// kill kills the node's process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGCONT)
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// ready reports whether the node answers a readiness question with 200.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + m.readiness + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == 200
}

// awaitReady waits until all nodes are ready.
func awaitReady(limit time.Duration, machines ...*machine) error {
	end := time.Now().Add(limit)
	for _, m := range machines {
		for !m.ready() {
			if time.Now().After(end) {
				raw, _ := os.ReadFile(filepath.Join(m.dir, m.name+".log"))
				lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
				return fmt.Errorf("%s is not ready; its last log line: %s", m.name, lines[len(lines)-1])
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
