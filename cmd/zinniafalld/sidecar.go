package main

import "C" // links the program with the C library, as the platform requires

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

// collectorPercent lets the heap grow to three times what is live before a
// collection: processor time is scarcer than memory on these VMs.
const collectorPercent = 200

// settingsPause is the time between looks at the settings file.
const settingsPause = time.Second

// checkSidecar prints what is wrong with a platform's settings file.
func checkSidecar(path string) int {
	if _, code := loadSidecar(path); code != 0 {
		return code
	}
	fmt.Println("The settings are sound.")
	return 0
}

func loadSidecar(path string) (sidecar.Settings, int) {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return settings, exitSettings
	}
	return settings, 0
}

// runSidecar runs the node until it is told to stop. Other nodes reach it at the
// advertised address, if there is one.
func runSidecar(path, advertised string) int {
	// One thread runs at a time on these VMs.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(collectorPercent)
	// A hangup before this would end the process.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	settings, code := loadSidecar(path)
	if code != 0 {
		return code
	}
	node, err := platform.Start(settings, advertised)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	// The settings file may change without a signal, too.
	look := time.NewTicker(settingsPause)
	defer look.Stop()
	for {
		select {
		case <-look.C:
			reload(node, path)
			continue
		case s := <-signals:
			if s == syscall.SIGHUP {
				reload(node, path)
				continue
			}
		}
		node.Stop(context.Background())
		return 0
	}
}

// reload takes a changed settings file. What a running node cannot change
// waits for its next start.
func reload(node *sidecar.Node, path string) {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		node.Log().Warn("settings rejected", "part", "node", "error", err.Error())
		return
	}
	node.Reload(settings)
}
