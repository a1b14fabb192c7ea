package jaylog_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylog"
	"jayfield.example/jay/jaystandin"
)

func TestClient(t *testing.T) {
	tests := map[string]struct {
		faults  jaystandin.Faults
		budget  float64
		kind    jaylog.Kind
		entries int
	}{
		"healthy":    {budget: 100, entries: 1},
		"reply lost": {faults: jaystandin.Faults{LoseReplies: 1}, budget: 100, entries: 2},
		"slow":       {faults: jaystandin.Faults{Latency: 20 * time.Millisecond}, budget: 100, entries: 1},
		"down":       {faults: jaystandin.Faults{Down: true}, budget: 100, kind: jaylog.KindUnavailable},
		"no budget":  {budget: 0, kind: jaylog.KindBudget},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			platform := jaystandin.NewPlatform()
			server := httptest.NewServer(platform.Handler())
			defer server.Close()
			platform.SetFaults(test.faults)
			burst := min(1, int(test.budget))
			client := jaylog.NewClient(server.URL, jaylog.WithBudget(test.budget, 10*burst))
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			record := jaylog.NewWriter("w").Record("k", []byte("body"))
			_, err := client.Append(ctx, jaylog.StreamConfig, record)
			if test.kind != "" {
				if !jayerror.Is(err, test.kind) {
					t.Errorf("error = %v, want %s", err, test.kind)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			batch, err := client.Read(ctx, jaylog.StreamConfig, 0, 0)
			if err != nil || len(batch.Entries) != test.entries {
				t.Fatalf("batch = %+v, error = %v", batch, err)
			}
			for _, entry := range batch.Entries {
				if entry.Record.ID != record.ID {
					t.Errorf("ID = %v, want %v", entry.Record.ID, record.ID)
				}
			}
		})
	}
}

func TestExpiredOffset(t *testing.T) {
	platform := jaystandin.NewPlatform()
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	client := jaylog.NewClient(server.URL)
	ctx := context.Background()
	writer := jaylog.NewWriter("w")
	for range 5 {
		if _, err := client.Append(ctx, jaylog.StreamConfig, writer.Record("k", nil)); err != nil {
			t.Fatal(err)
		}
	}
	platform.Expire(jaylog.StreamConfig, 3)
	batch, err := client.Read(ctx, jaylog.StreamConfig, 1, 0)
	if !jayerror.Is(err, jaylog.KindExpired) || batch.Oldest != 3 {
		t.Errorf("oldest = %d, error = %v", batch.Oldest, err)
	}
	if batch, err = client.Read(ctx, jaylog.StreamConfig, 3, 0); err != nil || len(batch.Entries) != 2 {
		t.Errorf("batch = %+v, error = %v", batch, err)
	}
}

// A checkpoint must not be appended after records that its writer has not read.
func TestAppendAtNeedsEndOfStream(t *testing.T) {
	tests := map[string]struct {
		end  int64
		kind jaylog.Kind
	}{
		"at the end":               {1, ""},
		"before a record":          {0, jaylog.KindConflict},
		"beyond the newest record": {2, jaylog.KindConflict},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			platform := jaystandin.NewPlatform()
			server := httptest.NewServer(platform.Handler())
			defer server.Close()
			client, writer := jaylog.NewClient(server.URL), jaylog.NewWriter("w")
			if _, err := client.Append(t.Context(), jaylog.StreamConfig, writer.Record("k", nil)); err != nil {
				t.Fatal(err)
			}
			offset, err := client.AppendAt(t.Context(), jaylog.StreamConfig, writer.Record("k", nil), test.end)
			if test.kind == "" && (err != nil || offset != test.end) || test.kind != "" && !jayerror.Is(err, test.kind) {
				t.Errorf("offset %d, error %v, want kind %q", offset, err, test.kind)
			}
			if end, want := platform.End(jaylog.StreamConfig), int64(1); test.kind != "" && end != want {
				t.Errorf("the stream ends at %d, want %d", end, want)
			}
		})
	}
}
