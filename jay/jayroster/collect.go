package jayroster

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaypeer"
	"jayfield.example/jay/jayusage"
)

const (
	// collectBound bounds a collection: the holder of the duty asks again after a second.
	collectBound = time.Second
	// passOver is how long an instance that did not answer a collection is passed over as a hub if another
	// candidate of its zone is left. Heartbeats of another zone's hub show its end only after some seconds.
	passOver = 3 * time.Second
)

// CollectRequest asks for sums over availability zones.
type CollectRequest struct {
	// Usage asks for the counts of a window by account, Demand for the demand by service.
	Usage  bool  `msgpack:"u,omitempty"`
	Window int64 `msgpack:"w,omitempty"`
	Demand bool  `msgpack:"d,omitempty"`
}

// CollectReply holds the sums of an availability zone.
type CollectReply struct {
	Zone string
	// Answered is the number of instances that supplied sums, 0 if the zone is not in reach.
	Answered int
	// Counts are the requests by the hash of the account, of each the larger sum of those
	// supplied. Incarnations is the number of incarnations that have any.
	Counts       map[uint32]uint64
	Incarnations int
	// Demand is the demand by service of DemandInstances instances.
	Demand          []jaymember.ServiceDemand
	DemandInstances int
}

// zoneUsage holds the sums of a zone in a reply.
type zoneUsage struct {
	Cells           []byte                    `msgpack:"c,omitempty"`
	Incarnations    int                       `msgpack:"i,omitempty"`
	Demand          []jaymember.ServiceDemand `msgpack:"d,omitempty"`
	DemandInstances int                       `msgpack:"n,omitempty"`
	// Prefixes are the samples of prefixes in the demand.
	Prefixes samples `msgpack:"p,omitempty"`
}

// Collect returns the sums of each availability zone. It asks both hubs of each zone at once for at most a second. An
// instance answers from its own state for its zone if it is a hub and, in a full mesh, for all zones.
func (r *Roster) Collect(ctx context.Context, request CollectRequest) []CollectReply {
	ctx, cancel := context.WithTimeout(ctx, collectBound)
	defer cancel()
	var replies []CollectReply
	var targets []collectTarget
	err := r.owner.Call(ctx, func(s *state) {
		replies, targets = s.collectTargets(time.Now(), request)
	})
	if err != nil {
		return nil
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		r.log.Error("collection not encoded", "error", err)
		return nil
	}
	var mu sync.Mutex
	var asked sync.WaitGroup
	var failed []string
	for _, target := range targets {
		asked.Go(func() {
			sums, err := r.askUsage(ctx, target.peer, body)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				r.log.Info("hub did not supply sums", "zone", replies[target.zone].Zone, "address", target.peer, "error", err)
				failed = append(failed, target.peer)
				return
			}
			replies[target.zone].merge(sums)
		})
	}
	asked.Wait()
	if len(failed) > 0 {
		_ = r.owner.Send(ctx, func(s *state) { s.passOver(time.Now(), failed) }) // The roster is stopping.
	}
	return replies
}

// askUsage requests the sums of the zone of the instance at an address.
func (r *Roster) askUsage(ctx context.Context, address string, body []byte) (zoneUsage, error) {
	reply, err := r.ask(ctx, connection{address: address, topic: noTopic}, jaypeer.TopicCollect, body, collectBound)
	if err != nil {
		return zoneUsage{}, err //nolint:wrapcheck // The log line names the operation.
	}
	defer r.traffic.measure(jaypeer.TopicCollect)()
	return decodeSums(reply)
}

// serveCollect handles an encoded CollectRequest for the zone of this instance.
func (r *Roster) serveCollect(ctx context.Context, body []byte) ([]byte, error) {
	var request CollectRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, jayerror.Wrap("collect", KindFormat, err)
	}
	var sums zoneUsage
	keeps := false
	err := r.owner.Call(ctx, func(s *state) {
		defer r.traffic.measure(jaypeer.TopicCollect)()
		if keeps = s.meter != nil && s.isHub; keeps {
			sums = s.zoneUsage(time.Now(), s.view.Self().Zone, request)
		}
	})
	if err != nil {
		return nil, jayerror.Wrap("collect", KindFormat, err)
	}
	if !keeps {
		return nil, jayerror.New("collect", KindFormat, "this instance is not a hub of its zone")
	}
	defer r.traffic.measure(jaypeer.TopicCollect)()
	return encodeSums(sums)
}

func encodeSums(sums zoneUsage) ([]byte, error) {
	sums.Prefixes = samplesOf(sums.Demand)
	data, err := msgpack.Marshal(sums)
	if err != nil {
		return nil, jayerror.Wrap("collect", KindFormat, err)
	}
	return data, nil
}

func decodeSums(data []byte) (zoneUsage, error) {
	var sums zoneUsage
	if err := msgpack.Unmarshal(data, &sums); err != nil {
		return sums, jayerror.Wrap("collect", KindFormat, err)
	}
	sums.Prefixes.addTo(sums.Demand)
	return sums, nil
}

// collectTarget is an instance to ask for the sums of the zone with an index.
type collectTarget struct {
	zone int
	peer string
}

// collectTargets returns a reply for each zone, filled from the own state where that suffices, and the instances
// to ask for the others.
func (s *state) collectTargets(now time.Time, request CollectRequest) ([]CollectReply, []collectTarget) {
	if s.meter == nil {
		return nil, nil
	}
	candidates, self := s.candidates(now, s.view.Members()), s.view.Self()
	var replies []CollectReply
	var targets []collectTarget
	for n, zone := range append([]string{self.Zone}, zonesOf(candidates, self.Zone)...) {
		replies = append(replies, CollectReply{Zone: zone})
		if !s.partialMesh() {
			replies[n].merge(s.zoneUsage(now, zone, request))
			continue
		}
		for _, hub := range s.answeringHubs(now, zone, candidates) {
			if hub.incarnation == self.Incarnation {
				replies[n].merge(s.zoneUsage(now, zone, request))
				continue
			}
			targets = append(targets, collectTarget{zone: n, peer: hub.peer})
		}
	}
	return replies, targets
}

// answeringHubs returns the hubs of a zone, or the next candidates in place of those that did not answer the
// latest collections. Another candidate is a hub as soon as its zone has noticed. An instance that was a hub for
// a while may have taken the hubs of another zone for mute, and does not contact them again: of other zones only
// what others report counts.
func (s *state) answeringHubs(now time.Time, zone string, candidates []candidate) []candidate {
	known, answering := slices.Clone(candidates), make([]candidate, len(candidates))
	for n, c := range known {
		if c.zone != s.view.Self().Zone {
			status, _ := s.view.Member(c.incarnation)
			known[n].suspect = status.Silent
		}
		at, failed := s.unanswered[c.peer]
		answering[n] = known[n]
		answering[n].suspect = known[n].suspect || failed && now.Sub(at) < passOver
	}
	if hubs := hubsOf(zone, answering); len(hubs) > 0 {
		return hubs
	}
	return hubsOf(zone, known)
}

// passOver records that instances did not answer a collection.
func (s *state) passOver(now time.Time, peers []string) {
	for peer, at := range s.unanswered {
		if now.Sub(at) >= passOver {
			delete(s.unanswered, peer)
		}
	}
	for _, peer := range peers {
		s.unanswered[peer] = now
	}
}

// zoneUsage returns the sums of a zone by the own state.
func (s *state) zoneUsage(now time.Time, zone string, request CollectRequest) zoneUsage {
	var sums zoneUsage
	if request.Usage {
		counts, incarnations := s.meter.Sum(zone, request.Window)
		cells := make([]jayusage.Cell, 0, len(counts))
		for account, count := range counts {
			cells = append(cells, jayusage.Cell{Window: request.Window, Account: account, Count: count})
		}
		sums.Cells, sums.Incarnations = jayusage.EncodeCells(cells), incarnations
	}
	if request.Demand {
		sums.Demand, sums.DemandInstances = s.meter.SumDemand(now, zone)
	}
	return sums
}

// merge merges the sums that a hub supplied. Each hub may lack what the other has received, so the
// larger count of an account is taken, and the demand of the hub that knows more instances.
func (r *CollectReply) merge(sums zoneUsage) {
	cells, err := jayusage.DecodeCells(sums.Cells)
	if err != nil {
		return
	}
	if r.Counts == nil {
		r.Counts = make(map[uint32]uint64, len(cells))
	}
	for _, c := range cells {
		r.Counts[c.Account] = max(r.Counts[c.Account], c.Count)
	}
	r.Incarnations = max(r.Incarnations, sums.Incarnations)
	if r.Answered == 0 || sums.DemandInstances > r.DemandInstances {
		r.Demand, r.DemandInstances = sums.Demand, sums.DemandInstances
	}
	r.Answered++
}
