package main

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestCheckReturnsSettingsExitCode(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"bad.json": "{", "bad.toml": "node = ", "empty.toml": ""} {
		path := filepath.Join(dir, name)
		qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		qt.Assert(t, checkSettings(path), qt.Equals, exitSettings, qt.Commentf("%s", name))
	}
	for _, name := range []string{"missing.json", "missing.toml"} {
		qt.Assert(t, checkSettings(filepath.Join(dir, name)), qt.Equals, exitSettings, qt.Commentf("%s", name))
	}
}

const sidecarSettings = `node = "n"
ip = "127.0.0.1"
zone = "z"
region = "r"
port_range = [7620,7635]
app_addr = "127.0.0.1:8301"
service = "s"
[listen]
outbound = "127.0.0.1:8304"
readiness = "127.0.0.1:8302"
control = "127.0.0.1:8306"
[limits]
memory_mb = 284
max_fds = 4100
[platform]
address = "127.0.0.1:8309"
`

// Soak seed 2001 with 225 nodes: a node that started while its settings file was being
// changed read only half of it and exited.
func TestStartWaitsForASettingsFileInTheMiddleOfAChange(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	qt.Assert(t, os.WriteFile(path, []byte(sidecarSettings[:len(sidecarSettings)/2]), 0o600), qt.IsNil)
	changed := make(chan error, 1)
	go func() {
		time.Sleep(5 * settingsRetryInterval)
		next := path + ".next"
		err := os.WriteFile(next, []byte(sidecarSettings), 0o600)
		changed <- errors.Join(err, os.Rename(next, path))
	}()
	settings, code := awaitSidecarSettings(path)
	qt.Assert(t, <-changed, qt.IsNil)
	qt.Assert(t, code, qt.Equals, 0)
	qt.Assert(t, settings.Name, qt.Equals, "n")
}

func TestStartEndsIfTheSettingsStayInvalid(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	qt.Assert(t, os.WriteFile(path, []byte("node = "), 0o600), qt.IsNil)
	_, code := awaitSidecarSettings(path)
	qt.Assert(t, code, qt.Equals, exitSettings)
}
