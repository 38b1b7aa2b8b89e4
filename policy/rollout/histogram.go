package rollout

import (
	"math"
	"time"
)

// histogramBins is the number of bins. With a factor of sqrt 2 from 1 ms, the last bin begins
// at 2.9 s.
const histogramBins = 24

// Histogram counts times in bins: bin 0 those up to 1 ms, bin i those up to sqrt(2)^i ms, and
// the last also all above.
type Histogram [histogramBins]uint32

// Add counts one time.
func (h *Histogram) Add(d time.Duration) {
	i := binOf(d)
	if h[i] < math.MaxUint32 {
		h[i]++
	}
}

// binOf returns the bin of a time.
func binOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Ceil(2*math.Log2(ms)-1e-9)), histogramBins-1)
}

// Upper returns the upper limit of a bin.
func Upper(bin int) time.Duration {
	return time.Duration(math.Exp2(float64(bin)/2) * float64(time.Millisecond))
}

// Total returns the number of times.
func (h *Histogram) Total() uint64 {
	var n uint64
	for _, c := range h {
		n += uint64(c)
	}
	return n
}

// Plus returns the sum of two histograms.
func (h Histogram) Plus(other Histogram) Histogram {
	for i := range h {
		h[i] = uint32(min(uint64(h[i])+uint64(other[i]), math.MaxUint32))
	}
	return h
}

// Minus returns what h has more than an earlier reading. A bin that fell counts as 0.
func (h Histogram) Minus(earlier Histogram) Histogram {
	for i := range h {
		h[i] -= min(h[i], earlier[i])
	}
	return h
}

// Quantile returns the time below which a part q of all times are, interpolated within its
// bin, or 0 without times.
func (h *Histogram) Quantile(q float64) time.Duration {
	rank := q * float64(h.Total())
	if rank <= 0 {
		return 0
	}
	for i, c := range h {
		if c > 0 && rank <= float64(c) {
			return time.Duration(math.Exp2((float64(i)-1+rank/float64(c))/2) * float64(time.Millisecond))
		}
		rank -= float64(c)
	}
	return Upper(histogramBins - 1)
}

// Above returns how many times are in bins that are wholly above a limit. A limit of 0 means
// none. Times in the limit's own bin do not count, so the effective limit is up to sqrt 2
// higher.
func (h *Histogram) Above(limit time.Duration) uint64 {
	if limit <= 0 {
		return 0
	}
	var n uint64
	for _, c := range h[min(binOf(limit)+1, histogramBins):] {
		n += uint64(c)
	}
	return n
}
