// Command zinniafalld is the node that runs beside one target.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"k8s.io/klog/v2"

	"zinniafall/node/server"
	"zinniafall/node/static"
	"zinniafall/platform"
)

// The exit codes of the command.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	app := kingpin.New("zinniafalld", "The zinniafall node: carries calls from callers to targets.")
	run := app.Command("run", "Run the node until it is told to stop.")
	runFile := run.Flag("settings", "The settings file (JSON).").Required().String()
	check := app.Command("check", "Check a settings file and print every problem.")
	checkFile := check.Flag("settings", "The settings file: JSON, or the TOML of the users' platform.").Required().String()
	side := app.Command("sidecar", "Run the node on the users' platform, with the platform's settings file.")
	sideFile := side.Flag("settings", "The platform's settings file (TOML).").Default(platform.SettingsPath()).String()
	sideAdvertise := side.Flag("advertise", "The address (ip:port) at which other nodes reach this one, when it is not the one that it listens on.").String()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		os.Exit(runNode(*runFile))
	case check.FullCommand():
		os.Exit(checkSettings(*checkFile))
	case side.FullCommand():
		os.Exit(runSidecar(*sideFile, *sideAdvertise))
	}
}

// platformSettings is the ending of the settings files of the users' platform.
const platformSettings = ".toml"

// load reads the settings and prints what is wrong with them, which may be that
// they cannot be read.
func load(path string) (*static.Settings, int) {
	settings, err := static.Load(path)
	if err == nil {
		return settings, 0
	}
	fmt.Fprintln(os.Stderr, err)
	return nil, exitSettings
}

func checkSettings(path string) int {
	if filepath.Ext(path) == platformSettings {
		return checkSidecar(path)
	}
	_, code := load(path)
	if code == 0 {
		fmt.Println("The settings are sound.")
	}
	return code
}

func runNode(path string) int {
	settings, code := load(path)
	if code != 0 {
		return code
	}
	setLogLevel(settings.Log.Level)
	defer klog.Flush()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	node, err := server.Start(settings)
	if err != nil {
		klog.Errorf("node: The node could not start: %v.", err)
		return exitFailed
	}
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		klog.Warning("node: A second signal ends the stop at once.")
		cancel()
	}()
	node.Stop(ctx)
	return 0
}

// setLogLevel sets klog's verbosity and keeps its output on standard error.
func setLogLevel(level int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("v", strconv.Itoa(level))
}
