package server

import (
	"encoding/json"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"zinniafall/node/static"
)

// A start that fails must leave neither goroutines nor listeners behind, whichever
// address is taken.
func TestFailedStartLeavesNothingBehind(t *testing.T) {
	f := newTestFleet(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = taken.Close() }()
	takenUDP, err := net.ListenPacket("udp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = takenUDP.Close() }()
	running := goleak.IgnoreCurrent()
	for name, set := range map[string]func(*static.Settings){
		"callers":   func(s *static.Settings) { s.Callers.Listen = taken.Addr().String() },
		"operators": func(s *static.Settings) { s.Operators.Listen = taken.Addr().String() },
		"peers":     func(s *static.Settings) { s.Peers.Listen = takenUDP.LocalAddr().String() },
	} {
		settings := f.settings("a", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9})
		qt.Assert(t, json.Unmarshal([]byte(`{"URL": "http://127.0.0.1:9", "Sample": 1}`), &settings.Trace), qt.IsNil)
		set(settings)
		_, err := Start(settings)
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%s", name))
		goleak.VerifyNone(t, running)
	}
}
