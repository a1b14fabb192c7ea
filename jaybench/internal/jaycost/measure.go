package jaycost

import (
	"context"
	"math/rand/v2"
	"runtime"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jaybench/internal/jaymeasure"
)

const (
	tokens = 32
	warmUp = 200
)

// Latency is the time to the first token along a path at a rate.
type Latency struct {
	Path     Path
	Rate     int
	P50, P99 time.Duration
	Failed   int
}

// Work is what a request costs along a path.
type Work struct {
	Path Path
	// CPU is processor time of the whole process a request, Allocs and Bytes its allocations.
	CPU    time.Duration
	Allocs uint64
	Bytes  uint64
}

// Memory is what open streams cost along a path.
type Memory struct {
	Path    Path
	Streams int
	// Bytes is heap and stacks a stream, of all sides in the process.
	Bytes uint64
}

// Latencies measures both paths side by side, in turn, at a rate for each.
func Latencies(ctx context.Context, rate int, d time.Duration, seed uint64) ([]Latency, error) {
	s, err := newStage(ctx, &instantEngine{tokens: tokens})
	if err != nil {
		return nil, err
	}
	defer s.stop()
	for n := range warmUp {
		for _, path := range []Path{PathDirect, PathVia} {
			if _, err := s.ask(ctx, path, "warm-"+strconv.Itoa(n)); err != nil {
				return nil, err
			}
		}
	}
	return s.offer(ctx, rate, d, seed), nil
}

// offer sends requests at random times with a mean rate along each path.
func (s *stage) offer(ctx context.Context, rate int, d time.Duration, seed uint64) []Latency {
	source := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // Arrivals need no secrets.
	results := []Latency{{Path: PathDirect, Rate: rate}, {Path: PathVia, Rate: rate}}
	histograms := []jaymeasure.Histogram{jaymeasure.NewHistogram(), jaymeasure.NewHistogram()}
	var mu sync.Mutex
	var wait sync.WaitGroup
	next := time.Now()
	end := next.Add(d)
	for n := 0; next.Before(end); n++ {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(source.ExpFloat64() / float64(2*rate) * float64(time.Second)))
		wait.Go(func() {
			which := n % len(results)
			first, err := s.ask(ctx, results[which].Path, "r-"+strconv.Itoa(n))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				results[which].Failed++
				return
			}
			histograms[which].Record(first)
		})
	}
	wait.Wait()
	for i, h := range histograms {
		results[i].P50 = h.Quantile(50)
		results[i].P99 = h.Quantile(99)
	}
	return results
}

// Works measures what requests cost along both paths, one after the other.
func Works(ctx context.Context, requests int) ([]Work, error) {
	s, err := newStage(ctx, &instantEngine{tokens: tokens})
	if err != nil {
		return nil, err
	}
	defer s.stop()
	var results []Work
	for _, path := range []Path{PathDirect, PathVia} {
		work, err := s.work(ctx, path, requests)
		if err != nil {
			return nil, err
		}
		results = append(results, work)
	}
	return results, nil
}

func (s *stage) work(ctx context.Context, path Path, requests int) (Work, error) {
	for n := range warmUp {
		if _, err := s.ask(ctx, path, "warm-"+strconv.Itoa(n)); err != nil {
			return Work{}, err
		}
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := jaymeasure.ProcessorTime()
	for n := range requests {
		if _, err := s.ask(ctx, path, "w-"+strconv.Itoa(n)); err != nil {
			return Work{}, err
		}
	}
	cpu = jaymeasure.ProcessorTime() - cpu
	runtime.ReadMemStats(&after)
	count := uint64(requests) //nolint:gosec // It is positive.
	return Work{
		Path:   path,
		CPU:    cpu / time.Duration(requests),
		Allocs: (after.Mallocs - before.Mallocs) / count,
		Bytes:  (after.TotalAlloc - before.TotalAlloc) / count,
	}, nil
}

// Memories measures what open streams cost along both paths.
func Memories(ctx context.Context, streams int) ([]Memory, error) {
	var results []Memory
	for _, path := range []Path{PathDirect, PathVia} {
		memory, err := memoryOf(ctx, path, streams)
		if err != nil {
			return nil, err
		}
		results = append(results, memory)
	}
	return results, nil
}

func memoryOf(ctx context.Context, path Path, streams int) (Memory, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := newStage(ctx, &instantEngine{tokens: 1000, pause: time.Second})
	if err != nil {
		return Memory{}, err
	}
	defer s.stop()
	before := inUse()
	for n := range streams {
		response, err := s.open(ctx, path, "m-"+strconv.Itoa(n))
		if err != nil {
			return Memory{}, errors.Wrapf(err, "stream %d of %d; each takes four open files, so raise their limit or ask for fewer with -streams", n, streams)
		}
		defer response.Body.Close() //nolint:errcheck // The stream is given up.
	}
	time.Sleep(time.Second)
	used := inUse() - before
	return Memory{Path: path, Streams: streams, Bytes: used / uint64(streams)}, nil //nolint:gosec // It is positive.
}

// inUse returns the memory that heap and stacks hold after a collection.
func inUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// cpuTime returns the processor time that the process has used.
