package main

import (
	"os"
	"path/filepath"
	"testing"

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
