package jaystream_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfield.example/jay/jaystream"
)

func TestKeepersOfStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.StringMatching(`10\.0\.[0-9]{1,3}:7000`), 0, 12, rapid.ID).Draw(t, "instances")
		key := jaystream.NewKey(service, rapid.String().Draw(t, "attempt"))
		keepers := jaystream.KeepersOf(key, ids)
		if len(keepers) != min(len(ids), jaystream.Keepers) {
			t.Fatalf("%d keepers of %d instances", len(keepers), len(ids))
		}
		if got := jaystream.KeepersOf(key, rapid.Permutation(ids).Draw(t, "order")); !slices.Equal(got, keepers) {
			t.Fatalf("keepers %v, in another order %v", keepers, got)
		}
		if len(ids) == 0 {
			return
		}
		gone := rapid.SampledFrom(ids).Draw(t, "gone")
		left := jaystream.KeepersOf(key, slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == gone }))
		for _, id := range keepers {
			if id != gone && !slices.Contains(left, id) {
				t.Fatalf("keepers %v, and %v without %s", keepers, left, gone)
			}
		}
	})
}

// Guards against records of other instances that bring versions into play, or that hide that two versions began a stream.
func TestKeptRecords(t *testing.T) {
	now, key := time.Unix(1000, 0), jaystream.NewKey(service, "x")
	group := func(version string) jaystream.Kept {
		began := jaystream.NewTable()
		began.SetRegistered(now, map[string][]string{service: {"1", "2"}})
		began.Begin(now, service, "x", version)
		g, ok := began.Broken(now, service, "x")
		if !ok {
			t.Fatal("no record of a stream that broke")
		}
		return jaystream.Kept{Groups: []jaystream.Group{g}}
	}
	keeper, asker := jaystream.NewTable(), jaystream.NewTable()
	keeper.Keep(now, group("2"))
	asker.Keep(now, keeper.Answer([]jaystream.Key{key}))
	if got := asker.LookUp(now, service, "x", jaystream.Progress{}); got.Result != jaystream.ResultPeer || got.Version != "2" {
		t.Errorf("look-up = %v, want version 2 of a peer", got)
	}
	if got := asker.Versions(now, service); len(got) != 0 {
		t.Errorf("versions %v are in play by a record of a peer", got)
	}
	keeper.Keep(now, group("1"))
	asker.Keep(now, keeper.Answer([]jaystream.Key{key}))
	if got := asker.LookUp(now, service, "x", jaystream.Progress{}); got.Result != jaystream.ResultUnknown {
		t.Errorf("look-up = %v, want unknown", got)
	}
}
