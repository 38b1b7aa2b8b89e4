// Command zinniafalld is the node that runs beside one target.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"k8s.io/klog/v2"

	"zinniafall/node/server"
	"zinniafall/node/static"
	"zinniafall/platform"
)

// revision is the commit that was built, which the linker sets where the Go tool does not
// record it.
var revision string

// release identifies the build.
func release() string {
	if revision != "" {
		return revision
	}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				return setting.Value
			}
		}
	}
	return "unknown"
}

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	app := kingpin.New("zinniafalld", "The zinniafall node: carries calls from callers to targets.")
	run := app.Command("run", "Run the node until it receives SIGTERM or SIGINT.")
	runFile := run.Flag("settings", "The settings file (JSON).").Required().String()
	check := app.Command("check", "Check a settings file and print every problem.")
	checkFile := check.Flag("settings", "The settings file: JSON, or the TOML of the users' platform.").Required().String()
	sidecarCommand := app.Command("sidecar", "Run the node on the users' platform, with the platform's settings file.")
	sidecarFile := sidecarCommand.Flag("settings", "The platform's settings file (TOML).").Default(platform.SettingsPath()).String()
	sidecarAdvertise := sidecarCommand.Flag("advertise", "The address (ip:port) at which other nodes reach this one, if it differs from the listen address.").String()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		os.Exit(runNode(*runFile))
	case check.FullCommand():
		os.Exit(checkSettings(*checkFile))
	case sidecarCommand.FullCommand():
		os.Exit(runSidecar(*sidecarFile, *sidecarAdvertise))
	}
}

// platformSettingsExt is the file name extension of the platform's settings files.
const platformSettingsExt = ".toml"

// loadSettings loads the settings. On failure it prints the error and returns the
// exit code.
func loadSettings(path string) (*static.Settings, int) {
	settings, err := static.Load(path)
	if err == nil {
		return settings, 0
	}
	fmt.Fprintln(os.Stderr, err)
	return nil, exitSettings
}

// checkSettings checks a settings file, prints its problems and returns the exit
// code.
func checkSettings(path string) int {
	if filepath.Ext(path) == platformSettingsExt {
		return checkSidecarSettings(path)
	}
	_, code := loadSettings(path)
	if code == 0 {
		fmt.Println("The settings are sound.")
	}
	return code
}

func runNode(path string) int {
	settings, code := loadSettings(path)
	if code != 0 {
		return code
	}
	setLogLevel(settings.Log.Level)
	defer klog.Flush()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	node, err := server.Start(settings)
	if err != nil {
		klog.Errorf("node: Starting the node failed: %v.", err)
		return exitFailed
	}
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		klog.Warning("node: Received a second signal; stopping immediately.")
		cancel()
	}()
	node.Stop(ctx)
	return 0
}

// setLogLevel sets klog's verbosity. The output stays on standard error, klog's
// default.
func setLogLevel(level int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("v", strconv.Itoa(level))
}
