package main

import "C" // links the binary with the C library, which the platform requires

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"zinniafall/node/sidecar"
	"zinniafall/platform"
)

// gcPercent lets the heap grow to three times the live heap before a garbage
// collection, because CPU time is scarcer than memory on these VMs.
const gcPercent = 200

const (
	// settingsPollInterval is how often the settings file is checked for changes.
	settingsPollInterval = time.Second
	// settingsWait is how long a starting node waits for a settings file that is
	// valid: it may be in the middle of a change. settingsRetryInterval is the time
	// between two reads.
	settingsWait          = 2 * time.Second
	settingsRetryInterval = 20 * time.Millisecond
)

// checkSidecarSettings checks a settings file of the platform, prints its problems
// and returns the exit code.
func checkSidecarSettings(path string) int {
	if _, code := loadSidecarSettings(path); code != 0 {
		return code
	}
	fmt.Println("The settings are sound.")
	return 0
}

func loadSidecarSettings(path string) (sidecar.Settings, int) {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return settings, exitSettings
	}
	return settings, 0
}

// awaitSidecarSettings loads the settings, and again for up to settingsWait while they
// are not valid.
func awaitSidecarSettings(path string) (sidecar.Settings, int) {
	for end := time.Now().Add(settingsWait); time.Now().Before(end); time.Sleep(settingsRetryInterval) {
		if settings, err := platform.LoadSettings(path); err == nil {
			return settings, 0
		}
	}
	return loadSidecarSettings(path)
}

// runSidecar runs the node until SIGTERM or SIGINT. Other nodes reach it at the
// advertised address, or at its listen address if advertised is empty.
func runSidecar(path, advertised string) int {
	// The platform's VMs execute only one thread at a time, so threads of this
	// process would not run in parallel.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	// Catch SIGHUP before reading the settings: by default it ends the process.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	settings, code := awaitSidecarSettings(path)
	if code != 0 {
		return code
	}
	node, err := platform.Start(settings, path, advertised, release())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	// The settings file may also change without a SIGHUP.
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-poll.C:
			_ = node.RefreshSettings() // which logs an error
			continue
		case s := <-signals:
			if s == syscall.SIGHUP {
				_ = node.RefreshSettings()
				continue
			}
		}
		node.Stop(context.Background())
		return 0
	}
}
