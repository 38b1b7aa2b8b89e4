package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkPolicies prints, for each deployment and load, the latency
// percentiles of each policy as ratios to Predicted's on the same arrivals:
// minimum, median and maximum of five seeds. Run it with -benchtime 1x.
func BenchmarkPolicies(b *testing.B) {
	policies := []Policy{oracle, Random, RoundRobin, LeastReported, PerConnection}
	for _, d := range []deployment{newEngland, perth} {
		for _, load := range []float64{0.5, 0.8, 0.95} {
			b.Run(fmt.Sprintf("%s/%v", d.name, load), func(b *testing.B) {
				for range b.N {
					compare(b, d, load, policies)
				}
			})
		}
	}
}

func compare(b *testing.B, d deployment, load float64, policies []Policy) {
	ratios := map[Policy][]float64{}
	var own []float64
	for seed := uint64(1); seed <= 5; seed++ {
		predicted := float64(replay(d, Predicted, load, seed, 10*time.Second).ValueAtQuantile(99))
		own = append(own, predicted/1000)
		for _, policy := range policies {
			other := float64(replay(d, policy, load, seed, 10*time.Second).ValueAtQuantile(99))
			ratios[policy] = append(ratios[policy], predicted/other)
		}
	}
	b.Logf("p99 ms %s", spread(own))
	for _, policy := range policies {
		b.Logf("p99 to %s %s", policy, spread(ratios[policy]))
	}
}

// spread formats the minimum, median and maximum.
func spread(values []float64) string {
	slices.Sort(values)
	return fmt.Sprintf("%.2f %.2f %.2f", values[0], values[len(values)/2], values[len(values)-1])
}
