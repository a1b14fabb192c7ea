package jayplace_test

import (
	"fmt"
	"testing"
)

// BenchmarkChoose places completions on as many engines as a region may have.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{90, 3000} {
		b.Run(fmt.Sprint(count, " engines"), func(b *testing.B) {
			table := engines(count/3, count-count/3)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				choice, err := table.Choose(start, prompt(fmt.Sprint("r", i), fmt.Sprint("part", i%200), 2000))
				if err != nil {
					b.Fatal(err)
				}
				if _, err := table.DecodeUpstream(start, prompt(fmt.Sprint("r", i), "part", 2000), choice.Upstream); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
