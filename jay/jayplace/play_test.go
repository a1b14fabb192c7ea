package jayplace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jayfield.example/jay/jayplace"
)

// Figures of an engine by the users' sheets.
const (
	stepBase    = 3410 * time.Microsecond
	stepPerSlot = 97 * time.Microsecond
	readPerMs   = 112
	chunk       = 2048
	perEvent    = 10
	pauseTarget = 400 * time.Millisecond
)

// run is a request inside the played engines.
type run struct {
	choice     jayplace.Choice
	host       string
	work       jayplace.Work
	toRead     int
	left       int
	sinceEvent int
	lastEvent  time.Time
	late       bool
}

// player is an engine that reads prompts in chunks between the tokens of its answers.
type player struct {
	prefill bool
	free    time.Time
	reading []*run
	running []*run
}

// step plays one step from now on and returns the prompts that it completed and the answers that ended.
func (p *player) step(now time.Time) (read, answered []*run) {
	tokens, perMs := chunk, readPerMs
	if !p.prefill {
		tokens, perMs = chunk/4, readPerMs/2
	}
	took := stepBase + time.Duration(len(p.running))*stepPerSlot
	var rest []*run
	for _, r := range p.reading {
		part := min(tokens, r.toRead)
		tokens -= part
		r.toRead -= part
		took += time.Duration(part) * time.Millisecond / time.Duration(perMs)
		if r.toRead == 0 {
			read = append(read, r)
		} else {
			rest = append(rest, r)
		}
	}
	p.reading, p.free = rest, now.Add(took)
	var alive []*run
	for _, r := range p.running {
		if r.token(p.free); r.left > 0 {
			alive = append(alive, r)
		} else {
			answered = append(answered, r)
		}
	}
	p.running = alive
	return read, answered
}

// token takes one token of the answer; ten make an event.
func (r *run) token(at time.Time) {
	r.left--
	if r.sinceEvent++; r.sinceEvent < perEvent && r.left > 0 {
		return
	}
	r.sinceEvent = 0
	r.late = r.late || at.Sub(r.lastEvent) > pauseTarget
	r.lastEvent = at
}

// play sends requests to the engines that the table chooses and returns the
// share of answers without a pause over the target.
func play(t *testing.T, perSecond float64, answer int) float64 {
	t.Helper()
	const prefill, decode, seconds = 4, 8, 30
	table := engines(prefill, decode)
	players := make(map[string]*player)
	for i := range prefill + decode {
		players[fmt.Sprintf("e%02d", i)] = &player{prefill: i < prefill}
	}
	source := rand.New(rand.NewPCG(1, 2))
	var all []*run
	next := start
	for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(time.Millisecond) {
		for !next.After(now) {
			next = next.Add(time.Duration(source.ExpFloat64() / perSecond * float64(time.Second)))
			w := prompt(fmt.Sprint("r", len(all)), fmt.Sprint("part", source.IntN(150)), 500+source.IntN(4000))
			w.AnswerTokens = answer
			choice, err := table.Choose(now, w)
			if err != nil {
				t.Fatal(err)
			}
			table.Start(choice.Upstream.ID)
			table.Reading(choice)
			r := &run{choice: choice, work: w, toRead: choice.Reading, left: answer/2 + source.IntN(answer)}
			players[choice.Upstream.ID].reading = append(players[choice.Upstream.ID].reading, r)
			all = append(all, r)
		}
		for id, p := range players {
			if now.Before(p.free) || len(p.reading)+len(p.running) == 0 {
				continue
			}
			read, answered := p.step(now)
			for _, r := range answered {
				table.End(now, r.host, jayplace.OutcomeServed, 0, true)
			}
			for _, r := range read {
				table.Read(now, r.choice, r.work.Shared, true)
				r.host, r.lastEvent = id, p.free
				if r.choice.Apart {
					table.End(now, id, jayplace.OutcomeServed, 0, true)
					to, err := table.Host(now, r.work, r.choice.Upstream)
					if err != nil {
						t.Fatal(err)
					}
					r.host = to.ID
					table.Start(r.host)
				}
				players[r.host].running = append(players[r.host].running, r)
			}
		}
	}
	even := 0
	for _, r := range all {
		if !r.late {
			even++
		}
	}
	return float64(even) / float64(len(all))
}

// Long answers come without long pauses, since engines that give them read few prompts in between.
func TestLongAnswersComeEvenly(t *testing.T) {
	tests := map[string]struct {
		perSecond float64
		answer    int
	}{
		"short answers": {80, 120},
		"long answers":  {100, 800},
	}
	// The users' letter asks for its times between tokens for 95 in 100.
	const target = 0.95
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := play(t, test.perSecond, test.answer); got < target {
				t.Errorf("%.3f of the answers come without a pause over %s, want %.2f", got, pauseTarget, target)
			}
		})
	}
}
