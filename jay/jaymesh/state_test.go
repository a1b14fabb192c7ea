package jaymesh

import (
	"fmt"
	"testing"
	"time"

	"jayfield.example/jay/jaymember"
)

// Guards against zones that receive no load reports at all once there are many: the latest ones
// are forwarded up to the limit.
func TestDigestForwardsLatestLoads(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &state{view: jaymember.NewView(jaymember.Member{Zone: "z"}), loads: make(map[string]loadReport)}
	for n := range 2 * maxForwardedLoads {
		s.loads[fmt.Sprint(n)] = loadReport{measured: now.Add(-time.Duration(n) * time.Millisecond)}
	}
	d := s.digest(now, nil, false)
	if len(d.Loads) != maxForwardedLoads {
		t.Fatalf("%d loads, want %d", len(d.Loads), maxForwardedLoads)
	}
	for _, load := range d.Loads {
		if load.Load.Age >= maxForwardedLoads {
			t.Errorf("load of %s is %d ms old, want one of the latest", load.Upstream, load.Load.Age)
		}
	}
}
