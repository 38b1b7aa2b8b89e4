// Command standins2 plays the cases of the second review: it starts node processes of the
// project and, in its own process, stand-ins of the platform's metadata store, application
// instances and clients. It exits with 1 if a rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// env is what a case needs.
type env struct {
	root, caseDir, dir string
	trouble            bool
	record             *record
	machines           []*machine
}

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(*env) (verdict, error){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE ROOT CASE-FOLDER")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(playCase(play))
}

func playCase(play func(*env) (verdict, error)) int {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	e := &env{root: os.Args[2], caseDir: os.Args[3], dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: rec}
	rec.add("case %s, TROUBLE=%t", os.Args[1], e.trouble)
	watchdog := time.AfterFunc(110*time.Second, func() {
		rec.add("case could not run: it took over 110 s")
		e.end()
		_ = os.RemoveAll(dir)
		os.Exit(2)
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		s := <-signals
		rec.add("case could not run: it was ended by %v", s)
		e.end()
		_ = os.RemoveAll(dir)
		os.Exit(2)
	}()
	v, err := play(e)
	watchdog.Stop()
	e.end()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.MkdirAll(keep, 0o755)
		_ = os.CopyFS(keep, os.DirFS(dir))
	}
	_ = os.RemoveAll(dir)
	switch {
	case err != nil:
		rec.add("case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case v.broken:
		rec.add("BROKEN: %s", v.text)
		fmt.Println("BROKEN:", v.text)
		return 1
	}
	rec.add("held: %s", v.text)
	fmt.Println("held:", v.text)
	return 0
}

// end ends all node processes of the case.
func (e *env) end() {
	for _, m := range e.machines {
		m.kill()
	}
}

// machine adds a machine.
func (e *env) machine(name, zone, service string, store *metadataStore) (*machine, error) {
	m, err := newMachine(e.root, e.dir, name, zone, service, store.addr, e.record)
	if err == nil {
		e.machines = append(e.machines, m)
	}
	return m, err
}

// store starts the metadata store.
func (e *env) store() (*metadataStore, error) {
	ip, err := pickIP()
	if err != nil {
		return nil, err
	}
	return startStore(filepath.Clean(ip + ":8309"))
}
