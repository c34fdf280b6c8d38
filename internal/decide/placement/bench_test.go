package placement_test

import (
	"fmt"
	"testing"

	"agatelanding.example/agatelanding/internal/decide/placement"
)

// BenchmarkRanks measures the computation of ranks, and the lookup of those
// that a Directory keeps.
func BenchmarkRanks(b *testing.B) {
	for _, size := range []int{12, 120, 1100} {
		ranker := placement.NewRanker(targets(size, 16))
		b.Run(fmt.Sprintf("computed/targets=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ranker.Rank("model/adapter-17", 16)
			}
		})
		b.Run(fmt.Sprintf("remembered/targets=%d", size), func(b *testing.B) {
			d := placement.NewDirectory(ranker, placement.DefaultConfig())
			b.ReportAllocs()
			for b.Loop() {
				d.Ranks("model/adapter-17")
			}
		})
	}
}
