package jayroster

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaypeer"
)

// tick states the own work, exchanges with the contacts and passes on the result.
func (r *Roster) tick(s *state, now time.Time) {
	s.view.State(r.source.State)
	s.view.Tick(now)
	members := s.view.Members()
	for _, address := range s.contacts(members) {
		r.ask(s, address)
	}
	r.changed(members)
}

// contacts returns the addresses of the instances to exchange with now. Of two
// that know each other only one asks, since the answer carries as much.
func (s *state) contacts(members []jaymember.Status) []string {
	self := s.view.Self()
	if len(members) > meshSize {
		members = jaymember.Contacts(self, members)
	}
	var addresses []string
	for _, m := range members {
		if m.Peer == "" || m.Unlisted && m.Silent {
			continue
		}
		if self.Incarnation < m.Incarnation || m.Silent {
			addresses = append(addresses, m.Peer)
		}
	}
	for _, seed := range s.view.Seeds() {
		addresses = append(addresses, seed.Peer)
	}
	return addresses
}

// ask exchanges with one instance, beside the task, unless an exchange is under way.
func (r *Roster) ask(s *state, address string) {
	if s.asking[address] {
		return
	}
	body, err := s.statements()
	if err != nil {
		r.log.Error("statements not written", "error", err)
		return
	}
	client, ok := s.clients[address]
	if !ok {
		client = jaypeer.NewClient(address, r.key)
		s.clients[address] = client
	}
	s.asking[address] = true
	r.group.Go(func(ctx context.Context) {
		reply, err := client.Ask(ctx, jaypeer.TopicRoster, body, jaypeer.SilentBound)
		if err != nil {
			r.log.Debug("instance does not answer", "address", address, "error", err)
		}
		told := r.owner.Tell(ctx, func(s *state) {
			delete(s.asking, address)
			if err == nil {
				r.take(s, address, reply)
			}
		})
		if told != nil {
			r.log.Debug("answer not taken in", "address", address, "error", told)
		}
	})
}

func (r *Roster) take(s *state, address string, reply []byte) {
	var theirs digest
	if err := msgpack.Unmarshal(reply, &theirs); err != nil {
		r.log.Warn("statements not read", "address", address, "error", err)
		return
	}
	s.hear(theirs)
}

// hear takes in statements.
func (s *state) hear(d digest) {
	now := time.Now()
	for _, m := range d.Statements {
		s.view.Hear(now, m)
	}
}

// statements returns what the instance knows, first-hand and passed on.
func (s *state) statements() ([]byte, error) {
	all := digest{Statements: []jaymember.Member{s.view.Self()}}
	members := s.view.Members()
	if len(members) > meshSize {
		for _, m := range members {
			if !m.Silent {
				all.Statements = append(all.Statements, m.Member)
			}
		}
	}
	data, err := msgpack.Marshal(all)
	if err != nil {
		return nil, jayerror.Wrap("exchange", KindFormat, err)
	}
	return data, nil
}

// Work returns the sum of what other instances state of their work, by upstream.
func Work(now time.Time, members []jaymember.Status) map[string]jaymember.Work {
	sum := make(map[string]jaymember.Work)
	for _, m := range members {
		if m.Silent || now.Sub(m.Heard) > statementTrust {
			continue
		}
		for id, w := range m.Work {
			sum[id] = sum[id].Plus(w)
		}
	}
	return sum
}

// Read returns the prompt parts that other instances state as lately read.
func Read(members []jaymember.Status) []jaymember.Read {
	var read []jaymember.Read
	for _, m := range members {
		if !m.Silent {
			read = append(read, m.Read...)
		}
	}
	return read
}
