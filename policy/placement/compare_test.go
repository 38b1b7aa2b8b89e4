package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
)

var deployments = []deployment{newEngland, perth}

// p99 returns the 99th percentile of a replay in milliseconds.
func p99(d deployment, policy Policy, load float64, seed uint64, span time.Duration) float64 {
	return float64(replay(d, policy, load, seed, span).ValueAtQuantile(99)) / 1000
}

// TestTailLatencyAgainstBaselines checks the goals for the 99th percentile
// against other policies, on one seed at 80% of capacity.
func TestTailLatencyAgainstBaselines(t *testing.T) {
	for _, d := range deployments {
		tail := func(policy Policy) float64 { return p99(d, policy, 0.8, 1, 5*time.Second) }
		predicted := tail(Predicted)
		for _, goal := range []struct {
			policy Policy
			ratio  float64
		}{{Random, 0.5}, {LeastReported, 0.8}, {oracle, 1.2}} {
			ratio := predicted / tail(goal.policy)
			t.Logf("%s: %.2f of %s", d.name, ratio, goal.policy)
			qt.Check(t, ratio <= goal.ratio, qt.IsTrue, qt.Commentf("%s: %.2f of %s", d.name, ratio, goal.policy))
		}
	}
}

// BenchmarkPolicies logs, for each deployment and load, the 99th percentile of
// Predicted in milliseconds and its ratio to that of each other policy on the
// same arrivals: minimum, median and maximum of five seeds. Run it with
// -benchtime 1x.
func BenchmarkPolicies(b *testing.B) {
	for _, d := range deployments {
		for _, load := range []float64{0.5, 0.8, 0.95} {
			b.Run(fmt.Sprintf("%s/%v", d.name, load), func(b *testing.B) { compare(b, d, load, 10*time.Second) })
		}
	}
	b.Run(oneEntry.name+"/0.8", func(b *testing.B) { compare(b, oneEntry, 0.8, 5*time.Second) })
	b.Run(rareCalls.name+"/0.5", func(b *testing.B) { compare(b, rareCalls, 0.5, 2*time.Second) })
}

func compare(b *testing.B, d deployment, load float64, span time.Duration) {
	var predictedP99 []float64
	ratios := map[Policy][]float64{}
	policies := []Policy{oracle, Random, RoundRobin, LeastReported, PerConnection}
	for seed := uint64(1); seed <= 5; seed++ {
		predicted := p99(d, Predicted, load, seed, span)
		predictedP99 = append(predictedP99, predicted)
		for _, policy := range policies {
			ratios[policy] = append(ratios[policy], predicted/p99(d, policy, load, seed, span))
		}
	}
	b.Logf("p99 ms %s", minMedianMax(predictedP99))
	for _, policy := range policies {
		b.Logf("p99 ratio to %s %s", policy, minMedianMax(ratios[policy]))
	}
}

// minMedianMax formats the minimum, median and maximum of the values.
func minMedianMax(values []float64) string {
	slices.Sort(values)
	return fmt.Sprintf("%.2f %.2f %.2f", values[0], values[len(values)/2], values[len(values)-1])
}

// BenchmarkChoose measures choosing a target for one call and recording its
// answer, with 260 services of 16 targets each.
func BenchmarkChoose(b *testing.B) {
	now := time.Unix(1, 0)
	p := New(Options{Self: "entry", Domain: "domain-0", Region: "region-0", Seed: 1, MinSubset: 16, MaxPeers: 260 * 16})
	names := make([]model.Service, 260)
	for i := range names {
		names[i] = serviceName(i)
		p.SetTargets(now, names[i], fleet(fmt.Sprint(i, "-"), 16))
	}
	loadReport := report(model.ProcessID{1}, 0, 12, 6)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(5 * time.Microsecond)
		name := names[i%len(names)]
		node, _ := p.Choose(now, Query{Service: name})
		p.RecordSent(now, name, node)
		loadReport.Sequence++
		p.RecordFinished(now, name, node, Outcome{Report: &loadReport, Elapsed: time.Millisecond})
	}
}

// BenchmarkSubsets reports how evenly the subsets of 2,200 entries spread over
// the targets of one service: the ratio of the entries of the most used target
// to the mean.
func BenchmarkSubsets(b *testing.B) {
	now := time.Unix(1, 0)
	for _, size := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				targets := fleet("node-", size)
				chosen := map[model.NodeAddr]float64{}
				most, total := 0.0, 0.0
				for _, entry := range fleet("entry-", 2200) {
					p := fleetEntry(entry, defaultSubsetSize)
					p.SetTargets(now, permits, targets)
					_, _ = p.Choose(now, Query{Service: permits})
					for _, node := range p.Peers() {
						chosen[node]++
						most = max(most, chosen[node])
						total++
					}
				}
				b.ReportMetric(most*float64(size)/total, "max/mean")
				b.ReportMetric(total/float64(size), "entries/target")
			}
		})
	}
}
