package jayroster_test

import (
	"fmt"
	"log/slog"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jaylist"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jaypeer"
	"jayfield.example/jay/jayroster"
	"jayfield.example/jay/jaystandin"
	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jaystream"
	"jayfield.example/jay/jayusage"
)

// meteredInstance is a roster that counts requests.
type meteredInstance struct {
	roster *jayroster.Roster
	meter  *jayusage.Meter
	series *jaymetric.Exposition
	host   *jaystandin.Host
	zone   string
}

// startMetered starts instances in two zones, all of which know the list.
func startMetered(t *testing.T, count int) (*jaystandin.Network, []*meteredInstance) {
	network, writer := jaystandin.NewNetwork(), &policyTopic{changed: make(chan struct{})}
	instances, list := make([]*meteredInstance, 0, count), make([]jaystore.Record, 0, count)
	for n := range count {
		address := peerAddress(n)
		i := &meteredInstance{host: network.Host(address, slowLink), zone: fmt.Sprint("z", n%2), series: jaymetric.NewExposition()}
		i.meter = jayusage.NewMeter(jayusage.MeterOptions{Window: 5 * time.Second, Usage: true, Start: time.Now(), Now: time.Now})
		self := jaymember.Member{Name: fmt.Sprint("i", n), Incarnation: fmt.Sprintf("%03d", n), Address: address, Peer: address, Region: i.zone, Zone: i.zone, Config: -1}
		i.roster = jayroster.Start(jayroster.Options{
			Self: self, Source: source{}, Writer: writer, Key: []byte("0123456789abcdef"), Listener: i.host.Listen(), Log: slog.New(slog.DiscardHandler),
			Series: i.series, Client: []jaypeer.ClientOption{jaypeer.WithDialer(i.host)}, Changed: func([]jaymember.Status, int) {}, Meter: i.meter,
			Streams: func(body []byte) ([]byte, error) { return append([]byte(self.Name+" "), body...), nil },
		})
		value, err := msgpack.Marshal(jaylist.Instance{Name: self.Name, Sort: jaylist.SortEntry, Incarnation: self.Incarnation, Address: address, Peer: address, Region: i.zone, Zone: i.zone, State: jaylist.StateLive})
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, jaystore.Record{Key: self.Name, Value: value, Position: jaystore.Position(n)})
		instances = append(instances, i)
	}
	for _, i := range instances {
		i.roster.Replace(t.Context(), list, jaystore.Position(count))
	}
	return network, instances
}

// Guards against a collection that lasts longer than a second, or lacks a zone, since one of its hubs does not
// answer; and against one that reports an answer of a zone that is cut off.
func TestCollect(t *testing.T) {
	tests := map[string]struct {
		instances int
		// cut are the instances that no longer answer.
		cut []int
		// answers are the answers by zone, requests the counts.
		answers, requests string
	}{
		"hubs":                      {16, nil, "[2 2]", "[8 8]"},
		"one hub of a zone is mute": {16, []int{1}, "[2 1]", "[8 8]"},
		"a zone is cut off":         {16, []int{1, 3, 5, 7, 9, 11, 13, 15}, "[2 0]", "[8 0]"},
		"full mesh":                 {6, nil, "[1 1]", "[3 3]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network, instances := startMetered(t, test.instances)
				// Connections that an instance opened to one that had stopped are not closed otherwise.
				defer network.Close()
				// The middle of a window: clocks agree to within some microseconds.
				time.Sleep(12500 * time.Millisecond)
				window := jayusage.WindowAt(time.Now(), 5*time.Second)
				for _, i := range instances {
					i.meter.Begun("a", time.Now())
				}
				time.Sleep(6500 * time.Millisecond)
				for _, n := range test.cut {
					instances[n].roster.Stop()
				}
				// The last instance of the first zone is not a hub.
				began := time.Now()
				replies := instances[test.instances-2].roster.Collect(t.Context(), jayroster.CollectRequest{Usage: true, Window: window, Demand: true})
				if took := time.Since(began); took > time.Second+100*time.Millisecond {
					t.Errorf("collection took %s", took)
				}
				answers, requests := make([]int, 0, len(replies)), make([]uint64, 0, len(replies))
				for _, r := range replies {
					answers, requests = append(answers, r.Answered), append(requests, r.Counts[jayusage.AccountHash("a")])
				}
				if fmt.Sprint(answers) != test.answers || fmt.Sprint(requests) != test.requests {
					t.Errorf("answers %v with %v requests, want %s with %s", answers, requests, test.answers, test.requests)
				}
				for n, i := range instances {
					if !slices.Contains(test.cut, n) {
						i.roster.Stop()
					}
				}
			})
		})
	}
}

// metricSum returns the sum of a metric over instances.
func metricSum(t *testing.T, instances []*meteredInstance, name string) int {
	sum := 0.0
	for _, i := range instances {
		w := httptest.NewRecorder()
		i.series.ServeHTTP(w, nil)
		for line := range strings.Lines(w.Body.String()) {
			if value, ok := strings.CutPrefix(line, name+" "); ok {
				n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
				if err != nil {
					t.Fatal(err)
				}
				sum += n
			}
		}
	}
	return int(sum)
}

// Guards against messages that are not counted at one of their ends, or counted as another kind, and against traffic between
// regions that is counted twice or left out.
func TestTrafficIsCountedByKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, instances := startMetered(t, 16)
		defer network.Close()
		time.Sleep(5 * time.Second)
		instances[14].roster.Collect(t.Context(), jayroster.CollectRequest{Demand: true})
		// Rounds are at multiples of 500 ms, so that no message is under way.
		time.Sleep(300 * time.Millisecond)
		sum := func(name, labels string) int {
			return metricSum(t, instances, "jayfield_peer_"+name+"_total{"+labels+"}")
		}
		for kind, region := range map[string]bool{"heartbeat": true, "collect": true, "mirror": false, "other": false} {
			for _, name := range []string{"messages", "bytes"} {
				sent, received := sum(name, `kind="`+kind+`",direction="sent"`), sum(name, `kind="`+kind+`",direction="received"`)
				if sent != received || (sent > 0) != region {
					t.Errorf("%s of kind %s: %d sent, %d received, want the same and some: %v", name, kind, sent, received, region)
				}
			}
			far, all := sum("region_bytes", `kind="`+kind+`"`), sum("bytes", `kind="`+kind+`",direction="sent"`)
			if far >= max(1, all) || (far > 0) != region {
				t.Errorf("%d of %d bytes of kind %s between regions, want some: %v", far, all, kind, region)
			}
		}
		if messages := sum("messages", `kind="collect",direction="sent"`); messages != 8 {
			t.Errorf("%d messages of a collection from four hubs, want 8", messages)
		}
		for _, i := range instances {
			i.roster.Stop()
		}
	})
}

// Guards against messages about streams that do not arrive, and against a former release, which takes them for heartbeats.
func TestMessagesAboutStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, instances := startMetered(t, 3)
		defer network.Close()
		time.Sleep(time.Second)
		reply, err := instances[0].roster.AskStreams(t.Context(), peerAddress(2), []byte("x"), time.Second)
		if string(reply) != "i2 x" {
			t.Errorf("reply = %q, %v", reply, err)
		}
		body, err := jaystream.EncodePeer(&jaystream.Message{Ask: []jaystream.Key{{1}}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := instances[0].roster.HandlePeer(t.Context(), jaypeer.TopicRoster, body); err == nil {
			t.Error("a message about streams was taken for a heartbeat")
		}
		for _, i := range instances {
			i.roster.Stop()
		}
	})
}
