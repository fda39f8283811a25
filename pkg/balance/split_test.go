package balance

import (
	"testing"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
)

// Guards against shares that differ from the weights over a few hundred requests, a service of weight zero that gets
// requests, and a changed split that keeps the old weights.
func TestSplitFollowsTheWeights(t *testing.T) {
	var s Splitter
	count := func(parts []config.WeightedService, n int) map[string]int {
		got := make(map[string]int)
		for range n {
			got[s.Next("list", parts)]++
		}
		return got
	}
	got := count([]config.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}, 300)
	if got["a"] != 270 || got["b"] != 30 {
		t.Errorf("%v, want 270 and 30", got)
	}
	got = count([]config.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}, 10)
	if got["a"] != 5 || got["b"] != 5 {
		t.Errorf("%v after the change, want 5 each", got)
	}
}

// Guards against a preview that names another service than the next request gets, or that takes its turn.
func TestPeekTakesNoTurn(t *testing.T) {
	var s Splitter
	parts := []config.WeightedService{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}
	for range 12 {
		first, second := s.Peek("r", parts), s.Peek("r", parts)
		if got := s.Next("r", parts); first != got || second != got {
			t.Fatalf("previews %s and %s, then %s", first, second, got)
		}
	}
}
