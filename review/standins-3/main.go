// Command standins runs the scripted cases of the third review: it starts the project's nodes
// as processes, and the stand-ins of the store, the instances, the clients and the operator in
// its own process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	failed  = 2
	maxTime = 110 * time.Second
)

var cases = map[string]func(f *fleet, trouble bool) int{
	"mark":   runMark,
	"reuse":  runReuse,
	"upload": runUpload,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*fleet, bool) int, path string) int {
	rec, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer rec.file.Close()
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer f.close()
	result := make(chan int, 1)
	go func() { result <- run(f, os.Getenv("TROUBLE") != "0") }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-result:
		rec.logf("exit %d", code)
		fmt.Printf("exit %d\n", code)
		return code
	case <-time.After(maxTime):
		fmt.Fprintln(os.Stderr, "the case took too long")
	case <-signals:
	}
	return failed
}
