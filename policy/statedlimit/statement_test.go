package statedlimit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_000_000, 0)

func TestParse(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   float64
		ok     bool
	}{
		{nil, Unlimited, true},
		{[]string{"12.3"}, 12.3, true},
		{[]string{" 7 "}, 7, true},
		{[]string{"0"}, 0, true},
		{[]string{"0.2"}, 0.2, true},
		{[]string{""}, 0, false},
		{[]string{"."}, 0, false},
		{[]string{"1.2.3"}, 0, false},
		{[]string{"-1"}, 0, false},
		{[]string{"NaN"}, 0, false},
		{[]string{"Inf"}, 0, false},
		{[]string{"1e300"}, 0, false},
		{[]string{"2000000"}, 0, false},
		{[]string{"0x10"}, 0, false},
		{[]string{"many"}, 0, false},
		{[]string{"5", "9"}, 0, false},
	} {
		limit, ok := Parse(c.values)
		qt.Check(t, ok, qt.Equals, c.ok, qt.Commentf("%q", c.values))
		if c.ok {
			qt.Check(t, limit, qt.Equals, c.want, qt.Commentf("%q", c.values))
		}
	}
}

func TestStatedLimitOutlivesAnswersThatItOvertook(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var l Limiter
	for _, step := range []struct {
		sent, arrived int
		limit, want   float64
	}{
		{0, 10, Unlimited, Unlimited},
		{5, 100, 12, 12},         // in force although its request was sent before the last arrival
		{90, 110, Unlimited, 12}, // sent before the limit arrived: may have been made before it
		{95, 120, 30, 12},
		{120, 130, 30, 30},
		{100, 140, 8, 8}, // lower: in force at once
		{135, 150, 8, 8},
		{145, 160, Unlimited, 8}, // the limit was confirmed at 150
		{151, 170, Unlimited, Unlimited},
	} {
		l.Record(at(step.arrived), Statement{Limit: step.limit, SentAt: at(step.sent)})
		qt.Assert(t, l.Limit(), qt.Equals, step.want, qt.Commentf("%+v", step))
	}
	l.Record(at(200), Statement{Limit: 3, SentAt: at(190)})
	qt.Assert(t, l.Limit(), qt.Equals, 3.0)
}
