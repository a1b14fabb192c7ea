package jayroster

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jayusage"
)

const (
	// controlZones is the number of zones of the model, two of them in each region.
	controlZones = 6
	// upstreamsPerInstance, requestsPerSecond and requestTime are the load of each instance, which works at upstreams of its
	// zone.
	upstreamsPerInstance = 2
	requestsPerSecond    = 2
	requestTime          = 10 * time.Second
	controlAccounts      = 73
	controlServices      = 8
	// envelopeBytes is the size of a frame with its envelope around the body of a digest.
	envelopeBytes = 34
)

// controlRequest is a request of the model.
type controlRequest struct {
	upstream uint32
	begun    time.Time
	tokens   int
}

// controlMesh is a mesh under load whose messages are encoded and counted.
type controlMesh struct {
	*meteredMesh
	source *rand.Rand
	// running are the requests of each instance by address.
	running map[string][]controlRequest
	// bytes are the bytes by role, kind of message or field; nil if they are not counted.
	bytes map[string]map[string]int
}

func newControlMesh(tb testing.TB, instances int) *controlMesh {
	m := &controlMesh{meteredMesh: newMeteredMesh(controlZones, instances/controlZones), source: rand.New(rand.NewPCG(1, 0)), running: make(map[string][]controlRequest)}
	for n, node := range m.nodes {
		node.view.UpdateSelf(func(self *jaymember.Member) {
			// Names and addresses as long as those of a deployment.
			self.Name, self.Region = fmt.Sprintf("edge-%s-%03d", self.Zone, n), fmt.Sprint("region-", n%controlZones/2)
			self.Address = fmt.Sprintf("10.%d.%d.%d:8443", n%controlZones, n/250, n%250)
			self.Incarnation += "-4f1c9a7b"
		})
		node.fill = func(self *jaymember.Member) { m.fill(node, n, self) }
	}
	m.list()
	m.carry = func(from, to *node, d digest, reply bool) digest { return m.transmit(tb, from, to, d, reply) }
	return m
}

// fill changes the load of an instance and what it reports.
func (m *controlMesh) fill(n *node, number int, self *jaymember.Member) {
	running := slices.DeleteFunc(m.running[n.address], func(r controlRequest) bool { return m.now.Sub(r.begun) >= requestTime })
	zone, upstreams := uint32(number%controlZones)<<16, len(m.nodes)*upstreamsPerInstance/controlZones
	for range requestsPerSecond * partialTicks * Period / time.Second {
		r := controlRequest{upstream: zone | uint32(m.source.IntN(upstreams)), begun: m.now, tokens: 200 + m.source.IntN(8000)}
		running = append(running, r)
		service := fmt.Sprint("s", m.source.IntN(controlServices))
		n.meter.Begun(fmt.Sprint("account", m.source.IntN(controlAccounts)), m.now)
		n.meter.Admit(service, r.tokens, 300)
		n.meter.Prefilled(service, r.tokens)
	}
	m.running[n.address] = running
	work := make(map[uint32]jaymember.Work)
	self.CachedPrefixes, self.Tallies, self.Speeds, self.Suspects = nil, nil, nil, nil
	for _, r := range running {
		w := jaymember.Work{Running: 1}
		if r.begun.Equal(m.now) {
			w.PrefillTokens, w.ShortPrefillTokens = r.tokens, r.tokens%1000
		}
		work[r.upstream] = work[r.upstream].Plus(w)
		if m.now.Sub(r.begun) < time.Second {
			self.CachedPrefixes = append(self.CachedPrefixes, jaymember.CachedPrefix{Upstream: hash(r.upstream), Part: hash(uint32(r.tokens))})
		}
		// Some fail, and some are slow.
		if r.upstream%33 == 0 {
			self.Tallies = append(self.Tallies, jaymember.Tally{Upstream: hash(r.upstream), Served: 1 + r.tokens%3, Failed: r.tokens % 2})
		}
		if r.upstream%20 == 0 {
			self.Speeds = append(self.Speeds, jaymember.Speed{Upstream: hash(r.upstream), Counts: [5]int{0, 0, 1, r.tokens % 4, 1}, Votes: 1, Steps: 1})
		}
	}
	if number%50 == 0 {
		self.Suspects = []jaymember.Suspect{{Key: 1 << 60, Service: hash(1), Depth: 3, Crashes: []jaymember.Crash{{Upstream: hash(2), Age: time.Second}, {Upstream: hash(3), Age: 9 * time.Second}}}}
	}
	self.Work = nil
	for upstream, w := range work {
		self.Work = append(self.Work, jaymember.UpstreamWork{Upstream: hash(upstream), Work: w})
	}
	self.Mirrors = make(map[string]jaymember.Mirror)
	for topic, next := range map[string]jaystore.Position{"policy": 40, "upstreams": 9000, "members": 2000} {
		self.Mirrors[topic] = jaymember.Mirror{Next: next, Age: 200 * time.Millisecond}
	}
}

// hash returns a number whose encoding is as long as that of hashes.
func hash(n uint32) uint32 { return n*2654435761 | 1<<31 }

// transmit encodes, counts and decodes a digest.
func (m *controlMesh) transmit(tb testing.TB, from, to *node, d digest, reply bool) digest {
	data, err := encode(d)
	if err != nil {
		tb.Fatal(err)
	}
	var received digest
	if err := msgpack.Unmarshal(data, &received); err != nil {
		tb.Fatal(err)
	}
	if m.bytes != nil {
		m.count(from, to, d, len(data)+envelopeBytes, reply)
	}
	return received
}

// count adds the bytes of a digest to the columns of its two ends and, if they are of different regions, to that of all regions.
func (m *controlMesh) count(from, to *node, d digest, bytes int, reply bool) {
	a, b := from.view.Self(), to.view.Self()
	columns := []string{role(from), role(to)}
	if a.Region != b.Region {
		columns = append(columns, "regions")
	}
	kind := "  request"
	if reply {
		kind = "  reply"
	}
	if a.Zone != b.Zone {
		kind += " to another zone"
	} else {
		kind += " within a zone"
	}
	sizes := fieldSizes(d)
	sizes["all"], sizes[kind] = bytes, bytes
	for _, column := range columns {
		if m.bytes[column] == nil {
			m.bytes[column] = make(map[string]int)
		}
		for row, size := range sizes {
			m.bytes[column][row] += size
		}
	}
}

func role(n *node) string {
	if n.isHub {
		return "hub"
	}
	return "instance"
}

// fieldSizes returns the sizes of the encoded fields of a digest.
func fieldSizes(d digest) map[string]int {
	identity := jaymember.Member{Name: d.Self.Name, Incarnation: d.Self.Incarnation, Address: d.Self.Address, Peer: d.Self.Peer, Region: d.Self.Region, Zone: d.Self.Zone}
	values := map[string]any{
		"identity": identity, "mirrors": d.Self.Mirrors, "own work": d.Self.Work, "own prefixes": d.Self.CachedPrefixes,
		"own tallies": d.Self.Tallies, "own speeds": d.Self.Speeds, "own suspects": d.Self.Suspects, "changes of members": d.Changes,
	}
	sizes := make(map[string]int)
	if d.Relay != nil {
		values["relay"] = d.Relay
	}
	if d.Sums != nil && d.Sums.Packed != nil {
		if u, err := d.Sums.unpack(); err == nil {
			// Of each list that is packed alone, the version and the lengths of the other three are not its own.
			for name, list := range map[string]*sums{"work": {Work: u.Work}, "tallies": {Tallies: u.Tallies}, "prefixes": {Prefixes: u.Prefixes}, "speeds": {Speeds: u.Speeds}} {
				sizes["sums: "+name] = len(list.pack().Packed) - 4
			}
		}
		values["sums: suspects"] = d.Sums.Suspects
	} else if d.Sums != nil {
		maps.Copy(values, map[string]any{"sums: work": d.Sums.Work, "sums: tallies": d.Sums.Tallies, "sums: prefixes": d.Sums.Prefixes, "sums: speeds": d.Sums.Speeds, "sums: suspects": d.Sums.Suspects})
	}
	var u usageDigest
	if len(d.Usage) > 0 && msgpack.Unmarshal(d.Usage, &u) == nil {
		values["usage: cells"] = u.Cells
		demand, _ := encodeUsage(usageDigest{Demand: u.Demand})
		empty, _ := encodeUsage(usageDigest{})
		values["usage: demand"] = make([]byte, len(demand)-len(empty))
	}
	for name, value := range values {
		// An absent list is one byte here and none in a digest.
		if data, err := msgpack.Marshal(value); err == nil && len(data) > 1 {
			sizes[name] = len(data)
		}
	}
	sizes["usage: times"] = len(d.Usage) - sizes["usage: cells"] - sizes["usage: demand"]
	sizes["envelope"] = envelopeBytes
	return sizes
}

// table returns the counted bytes per second: of an instance, of a hub, and of all traffic between regions.
func (m *controlMesh) table(took time.Duration) string {
	count := map[string]int{"regions": 1}
	for _, n := range m.nodes {
		count[role(n)]++
	}
	rows := slices.SortedFunc(maps.Keys(m.bytes["hub"]), func(a, b string) int { return m.bytes["hub"][b] - m.bytes["hub"][a] })
	var b strings.Builder
	fmt.Fprintf(&b, "%d instances, B/s sent and received; shares of a field overlap with those of kinds\n%-28s %10s %10s %16s\n", len(m.nodes), "", "instance", "hub", "between regions")
	for _, row := range rows {
		fmt.Fprintf(&b, "%-28s", row)
		for _, column := range []string{"instance", "hub", "regions"} {
			fmt.Fprintf(&b, " %*.0f", 10, float64(m.bytes[column][row])/took.Seconds()/float64(max(1, count[column])))
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// collectBytes returns the bytes of the replies to one collection.
func (m *controlMesh) collectBytes(tb testing.TB) int {
	holder, bytes := m.nodes[0], 0
	request := CollectRequest{Usage: true, Window: jayusage.WindowAt(m.now, usageWindow) - 1, Demand: true}
	_, targets := holder.collectTargets(m.now, request)
	for _, target := range targets {
		i := slices.IndexFunc(m.nodes, func(n *node) bool { return n.address == target.peer })
		data, err := msgpack.Marshal(m.nodes[i].zoneUsage(m.now, m.nodes[i].view.Self().Zone, request))
		if err != nil {
			tb.Fatal(err)
		}
		bytes += len(data) + envelopeBytes
	}
	return bytes
}

// BenchmarkControl prints what control costs by kind of message and field, and measures its processor time. The time contains that of
// the model's load; -cpuprofile shows both apart. One iteration is a round of all instances, 500 ms.
func BenchmarkControl(b *testing.B) {
	for _, instances := range []int{30, 102, 300} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			m := newControlMesh(b, instances)
			for range 40 {
				m.round()
			}
			const counted = 20
			m.bytes = make(map[string]map[string]int)
			for range counted {
				m.round()
			}
			text := m.table(counted * partialTicks * Period)
			m.bytes = nil
			rounds := 0
			for b.Loop() {
				m.round()
				rounds++
			}
			perSecond := float64(b.Elapsed().Seconds()) / float64(rounds) / (partialTicks * Period).Seconds()
			b.ReportMetric(100*perSecond/float64(instances), "%core/instance")
			_, _ = fmt.Fprintf(os.Stdout, "\n%sreplies to a collection: %d B\n", text, m.collectBytes(b))
		})
	}
}
