package jayroster_test

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"testing"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayroster"
	"jayfield.example/jay/jaystore"
)

// historyStore is a store with a log of one key, whose records before an offset have expired.
type historyStore struct {
	registry
	first, page jaystore.Position
}

func (s *historyStore) Read(_ context.Context, _ jaystore.Topic, from jaystore.Position, _ <-chan struct{}) ([]jaystore.Record, jaystore.Position, error) {
	switch end := min(from+s.page, jaystore.Position(len(s.records))); {
	case from < s.first:
		return nil, 0, jayerror.New("read", jaystore.KindExpired, "expired")
	default:
		return slices.Clone(s.records[from:end]), end, nil
	}
}

func (s *historyStore) Newest(context.Context, jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	end := jaystore.Position(len(s.records))
	return slices.Clone(s.records[end-1:]), end, nil
}

// collector is a consumer that keeps the offsets of all records.
type collector struct {
	offsets []jaystore.Position
}

func (c *collector) Replace(ctx context.Context, records []jaystore.Record, _ jaystore.Position) {
	c.Apply(ctx, records)
}

func (c *collector) Apply(_ context.Context, records []jaystore.Record) {
	for _, r := range records {
		c.offsets = append(c.offsets, r.Position)
	}
}

func (*collector) Unavailable(context.Context, error) {}

func (*collector) Available(context.Context) {}

// Guards against an instance that starts from a snapshot and takes a write that took effect late for the newest state,
// since it has none of the records before it.
func TestHistoryIsReadAfterSnapshot(t *testing.T) {
	const end = 200
	tests := map[string]struct {
		perKey int
		store  *historyStore
		// from is the offset of the first record that is read after the snapshot.
		from jaystore.Position
	}{
		"without":                {0, &historyStore{page: end}, end},
		"for each key":           {150, &historyStore{page: end}, end - 150},
		"more than there is":     {1000, &historyStore{page: end}, 0},
		"in several reads":       {150, &historyStore{page: 7}, end - 150},
		"most of it has expired": {150, &historyStore{page: end, first: end - 20}, end - 150/8},
		"all of it has expired":  {150, &historyStore{page: end, first: end}, end},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for range end {
				test.store.put("e")
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			roster := jayroster.Start(jayroster.Options{
				Self:   jaymember.Member{Name: "i", Incarnation: "i", Peer: listener.Addr().String(), Config: -1},
				Source: source{}, Writer: test.store, Key: []byte("0123456789abcdef"), Listener: listener,
				Log: slog.New(slog.DiscardHandler), Series: jaymetric.NewExposition(), Changed: func([]jaymember.Status, int) {},
			})
			defer roster.Stop()
			c := &collector{}
			reader := roster.TopicReader(test.store, jaystore.TopicUpstreams, jaystore.NewMirror(c), time.Second, time.Nanosecond).WithHistory(test.perKey)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			next := jaystore.Position(-1)
			for next < end && ctx.Err() == nil {
				_, to, err := reader.Newest(ctx, jaystore.TopicUpstreams)
				if err != nil {
					t.Fatal(err)
				}
				c.offsets, next = nil, to
				for err == nil && next < end && ctx.Err() == nil {
					var records []jaystore.Record
					if records, next, err = reader.Read(ctx, jaystore.TopicUpstreams, next, nil); err == nil {
						c.Apply(ctx, records)
					}
				}
			}
			want := make([]jaystore.Position, 0, end)
			for offset := test.from; offset < end; offset++ {
				want = append(want, offset)
			}
			if next != end || !slices.Equal(c.offsets, want) {
				t.Errorf("read %v, next = %d, want the records from %d", c.offsets, next, test.from)
			}
		})
	}
}
