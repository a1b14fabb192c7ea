package jayroster

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jayprefix"
	"jayfield.example/jay/jayusage"
)

// usageDigest is what a digest carries for usage reports and orders of engines. Cells and demand
// go to instances that keep them: the hubs of the sender's zone or, in a full mesh, all.
type usageDigest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads its tag.
	// Time is the sender's time of day, Echo the answer to the receiver's latest stamp, in requests.
	Time usageTime
	Echo usageEcho
	// Keeps is set if the sender keeps the cells and the demand of the receiver.
	Keeps bool
	// Version is the version of the sender's counts up to which Cells lead, Ack that of the receiver's counts
	// up to which the sender has merged them. Sent is set if cells and demand are included.
	Version, Ack uint64
	Sent         bool
	Cells        []byte
	Demand       []jaymember.ServiceDemand
}

// samples are the samples of prefixes by service.
type samples map[uint32]jayprefix.Sample

// samplesOf returns the samples in a demand, nil if there are none.
func samplesOf(demand []jaymember.ServiceDemand) samples {
	var all samples
	for _, d := range demand {
		if d.Prefixes == "" {
			continue
		}
		if all == nil {
			all = make(samples)
		}
		all[d.Service] = d.Prefixes
	}
	return all
}

// addTo sets the samples in a demand.
func (s samples) addTo(demand []jaymember.ServiceDemand) {
	for n := range demand {
		demand[n].Prefixes = s[demand[n].Service]
	}
}

// usageTime and usageEcho are a jayusage.Stamp and a jayusage.Echo as arrays.
type usageTime struct {
	_msgpack                struct{} `msgpack:",as_array"` //nolint:unused // The codec reads its tag.
	TimeOfDay, Mono, Common int64
	Weight                  int
}

type usageEcho struct {
	_msgpack        struct{} `msgpack:",as_array"` //nolint:unused // The codec reads its tag.
	Mono, TimeOfDay int64
}

// encodeUsage encodes what a digest carries, with integers in as few bytes as they need. The samples of prefixes follow the
// usageDigest, if there are any: instances of a former release ignore what follows.
func encodeUsage(u usageDigest) ([]byte, error) {
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(&u); err != nil {
		return nil, jayerror.Wrap("usage", KindFormat, err)
	}
	if all := samplesOf(u.Demand); all != nil {
		if err := encoder.Encode(all); err != nil {
			return nil, jayerror.Wrap("usage", KindFormat, err)
		}
	}
	return data.Bytes(), nil
}

// decodeUsage decodes what a digest carries.
func decodeUsage(data []byte) (usageDigest, error) {
	var u usageDigest
	reader := bytes.NewReader(data)
	decoder := msgpack.NewDecoder(reader)
	if err := decoder.Decode(&u); err != nil {
		return u, jayerror.Wrap("usage", KindFormat, err)
	}
	if reader.Len() > 0 {
		var all samples
		if err := decoder.Decode(&all); err != nil {
			return u, jayerror.Wrap("usage", KindFormat, err)
		}
		all.addTo(u.Demand)
	}
	return u, nil
}

// keepsUsage reports whether this instance keeps the cells and the demand of another one of a zone.
func (s *state) keepsUsage(zone string) bool {
	return !s.partialMesh() || zone == s.view.Self().Zone && s.isHub
}

// remoteTimeRounds is the number of rounds of which one states the time of day to other zones, 2 s. Samples are kept for
// 10 s, and bytes between regions have the highest price.
const remoteTimeRounds = 4

// usageRequest returns what a request carries to a contact. In a partial mesh other zones get only the time of day.
func (s *state) usageRequest(now time.Time, c contact) []byte {
	remote := s.partialMesh() && c.zone != s.view.Self().Zone
	if s.meter == nil || remote && (!s.meter.CountsUsage() || s.rounds%remoteTimeRounds != 0) {
		return nil
	}
	u := s.usageDigest(now, c.incarnation, c.zone)
	if s.meter.CountsUsage() {
		e := s.meter.Echo(now, c.incarnation)
		u.Echo = usageEcho{Mono: e.Mono, TimeOfDay: e.TimeOfDay}
	}
	if !remote {
		s.addUsage(now, &u, c.incarnation, s.source(c.incarnation).usageAcked)
	}
	return s.encodedUsage(u)
}

// usageReply returns what the reply to a digest carries, nothing unless the digest carries any of it.
func (s *state) usageReply(now time.Time, d digest) []byte {
	if s.meter == nil || len(d.Usage) == 0 {
		return nil
	}
	u := s.usageDigest(now, d.Incarnation, d.Zone)
	if received, err := decodeUsage(d.Usage); err == nil && received.Keeps && (!s.partialMesh() || d.Zone == s.view.Self().Zone) {
		acked := uint64(0)
		if d.To == s.view.Self().Incarnation {
			acked = received.Ack
		}
		s.addUsage(now, &u, d.Incarnation, acked)
	}
	return s.encodedUsage(u)
}

// usageDigest returns what any digest to an instance in a zone carries.
func (s *state) usageDigest(now time.Time, to, zone string) usageDigest {
	stamp := s.meter.Stamp(now)
	return usageDigest{
		Time:  usageTime{TimeOfDay: stamp.TimeOfDay, Mono: stamp.Mono, Common: stamp.Common, Weight: stamp.Weight},
		Keeps: s.keepsUsage(zone), Ack: s.source(to).usageVersion,
	}
}

// sampleInterval is the time between two samples of prefixes to an instance. They are the largest part of the
// demand, 198 bytes for a service, and hold the prefixes of 10 s.
const sampleInterval = 2 * time.Second

// addUsage adds the own cells that changed after an acknowledged version, and the demand.
func (s *state) addUsage(now time.Time, u *usageDigest, to string, acked uint64) {
	cells, version := s.meter.Cells(acked)
	u.Sent, u.Version, u.Cells, u.Demand = true, version, jayusage.EncodeCells(cells), s.meter.Demand(now)
	src := s.source(to)
	if now.Sub(src.sampledAt) >= sampleInterval {
		src.sampledAt = now
		return
	}
	for n := range u.Demand {
		u.Demand[n].Prefixes = ""
	}
}

func (s *state) encodedUsage(u usageDigest) []byte {
	data, err := encodeUsage(u)
	if err != nil {
		return nil
	}
	return data
}

// mergeUsage merges what a digest carries, and confirms the cells unless some were not kept: those of a window
// that this instance takes for far from the present.
func (s *state) mergeUsage(now time.Time, d digest) {
	u, ok := s.receivedUsage(d)
	if !ok || !u.Sent {
		return
	}
	cells, err := jayusage.DecodeCells(u.Cells)
	if err != nil {
		return
	}
	if s.meter.Merge(now, d.Incarnation, d.Zone, cells) {
		src := s.source(d.Incarnation)
		src.usageVersion = max(src.usageVersion, u.Version)
	}
	s.meter.SetDemand(now, d.Incarnation, d.Zone, u.Demand)
}

// mergeUsageRequest takes a sample of the time of day from a request.
func (s *state) mergeUsageRequest(now time.Time, d digest) {
	if u, ok := s.receivedUsage(d); ok && d.To == s.view.Self().Incarnation {
		s.meter.ObserveEcho(now, d.Incarnation, u.stamp(), jayusage.Echo{Mono: u.Echo.Mono, TimeOfDay: u.Echo.TimeOfDay})
	}
}

// mergeUsageReply takes a sample of the time of day from a reply, and the version that its sender confirms.
func (s *state) mergeUsageReply(d digest, sentAt, receivedAt time.Time) {
	u, ok := s.receivedUsage(d)
	if !ok {
		return
	}
	s.meter.ObserveReply(d.Incarnation, u.stamp(), sentAt, receivedAt)
	if d.To == s.view.Self().Incarnation {
		s.source(d.Incarnation).usageAcked = u.Ack
	}
}

// receivedUsage decodes what a digest of another instance carries.
func (s *state) receivedUsage(d digest) (usageDigest, bool) {
	if s.meter == nil || len(d.Usage) == 0 || d.Incarnation == s.view.Self().Incarnation {
		return usageDigest{}, false
	}
	u, err := decodeUsage(d.Usage)
	return u, err == nil
}

// stamp returns the time of day that the sender states.
func (u usageDigest) stamp() jayusage.Stamp {
	return jayusage.Stamp{TimeOfDay: u.Time.TimeOfDay, Mono: u.Time.Mono, Common: u.Time.Common, Weight: u.Time.Weight}
}
