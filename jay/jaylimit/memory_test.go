package jaylimit_test

import (
	"testing"

	"pgregory.net/rapid"

	"jayfield.example/jay/jaylimit"
)

// Guards against a limit that large messages use up for small ones, and against messages beside a large
// one that together exceed it.
func TestMemory(t *testing.T) {
	memory := jaylimit.NewMemory(100)
	large := memory.Share(10)
	if !large.Grow(110) {
		t.Error("a message that fits is rejected")
	}
	if memory.Share(10).Grow(11) {
		t.Error("a message beyond the limit is accepted")
	}
	if !memory.Share(10).Grow(10) {
		t.Error("a small message is rejected")
	}
	large.Release()
	if !memory.Share(10).Grow(110) {
		t.Error("memory is not returned")
	}
}

// Guards against memory that is lost or counted twice, whatever the order of messages.
func TestMemoryAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, free = 1000, 50
		memory := jaylimit.NewMemory(limit)
		shares, sizes := make([]*jaylimit.Share, 4), make([]int64, 4)
		counted := func() int64 {
			total := int64(0)
			for _, size := range sizes {
				total += max(0, size-free)
			}
			return total
		}
		for n := range shares {
			shares[n] = memory.Share(free)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.IntRange(0, len(shares)-1).Draw(t, "share")
			if rapid.IntRange(0, 4).Draw(t, "release") == 0 {
				shares[n].Release()
				shares[n], sizes[n] = memory.Share(free), 0
				continue
			}
			size := rapid.Int64Range(0, 400).Draw(t, "size")
			before := sizes[n]
			sizes[n] += size
			fits := counted() <= limit || max(0, sizes[n]-free) == max(0, before-free)
			if shares[n].Grow(size) != fits {
				t.Fatalf("%d bytes more: fits = %v", size, fits)
			}
			if !fits {
				sizes[n] = before
			}
		}
		if memory.Used() != counted() {
			t.Fatalf("used = %d, want %d", memory.Used(), counted())
		}
	})
}
