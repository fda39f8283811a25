package hedge

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave sets the relative width of a bucket, 9%.
	bucketsPerOctave = 8
	// buckets covers 1 ms to about 65 s; longer times are counted in the last bucket.
	buckets = 16 * bucketsPerOctave
	// decayEvery is the number of samples after which all counts are halved, so that the quantiles follow a change of the
	// load within some hundred responses.
	decayEvery = 512
)

// quantiles is a histogram of response times with buckets of equal relative width that forgets old samples.
type quantiles struct {
	counts [buckets]float32
	total  float32
	added  int
}

func (q *quantiles) add(d time.Duration) {
	i := 0
	if ms := float64(d) / float64(time.Millisecond); ms > 1 {
		i = min(int(math.Log2(ms)*bucketsPerOctave), buckets-1)
	}
	q.counts[i]++
	q.total++
	if q.added++; q.added%decayEvery == 0 {
		for i := range q.counts {
			q.counts[i] /= 2
		}
		q.total /= 2
	}
}

// value returns the upper bound of the bucket that holds the given quantile.
func (q *quantiles) value(quantile float64) time.Duration {
	rest := float32(quantile) * q.total
	for i, n := range q.counts {
		if rest -= n; rest <= 0 && q.total > 0 {
			return time.Duration(math.Exp2(float64(i+1)/bucketsPerOctave) * float64(time.Millisecond))
		}
	}
	return 0
}
