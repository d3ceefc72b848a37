package folder_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/folder"
)

func applyRecord(t require.TestingT, s *folder.State, r savoryloft.Record) int {
	data, err := json.Marshal(r)
	require.NoError(t, err)
	offset := s.Offset + 1
	s.Apply(offset, data)
	return offset
}

func newNote(id string, base int, added, changed *savoryloft.Entities, withdrawn *savoryloft.EntityNames) savoryloft.Record {
	return savoryloft.Record{ID: "note-" + id, Note: &savoryloft.Note{
		ID: id, Base: base, Operator: "op-" + id, Added: added, Changed: changed, Withdrawn: withdrawn,
	}}
}

func newClass(name string, tier int) savoryloft.Class {
	return savoryloft.Class{Name: name, Tier: tier, FirstToken: savoryloft.Duration(390e6)}
}

// newBaseState returns a state with one entity of each kind, at offset 0.
func newBaseState(t require.TestingT) *folder.State {
	s := folder.New()
	applyRecord(t, s, newNote("base", -1, &savoryloft.Entities{
		ClientAccounts: []savoryloft.ClientAccount{{Name: "a", Weight: 1}},
		Keys:           []savoryloft.Key{{Name: "k", ClientAccount: "a", Hash: hashOf(1)}},
		Classes:        []savoryloft.Class{newClass("c", 1)},
		Pools:          []savoryloft.Pool{{Name: "p", Kind: savoryloft.PoolKindEngine, Slots: 4}},
		Routes:         []savoryloft.Route{{Name: "r", Method: "POST", Path: "/x", Class: "c", Pool: "p"}},
		Upstreams:      []savoryloft.Upstream{{Name: "u", Pool: "p", Address: "127.0.0.1:1", FailureDomain: "d"}},
	}, nil, nil))
	v, ok := s.Verdict("base")
	require.True(t, ok)
	require.Empty(t, v.Rejected)
	return s
}

func hashOf(n int) string { return fmt.Sprintf("%064x", n) }

func TestNoteVerdicts(t *testing.T) {
	classes := func(c ...savoryloft.Class) *savoryloft.Entities { return &savoryloft.Entities{Classes: c} }
	tests := []struct {
		name      string
		base      int
		added     *savoryloft.Entities
		changed   *savoryloft.Entities
		withdrawn *savoryloft.EntityNames
		want      string
	}{
		{name: "accepted", added: classes(newClass("d", 0))},
		{name: "added twice", added: classes(newClass("c", 0)), want: "exists already"},
		{name: "change of missing entity", changed: classes(newClass("d", 0)), want: "does not exist"},
		{name: "withdrawal of missing entity", withdrawn: &savoryloft.EntityNames{Keys: []string{"z"}}, want: "does not exist"},
		{name: "named twice", added: classes(newClass("d", 0), newClass("d", 1)), want: "named twice"},
		{name: "base not below note", base: 9, added: classes(newClass("d", 0)), want: "not below"},
		{name: "route to withdrawn class", withdrawn: &savoryloft.EntityNames{Classes: []string{"c"}}, want: "refers to Class"},
		{name: "key of withdrawn account", withdrawn: &savoryloft.EntityNames{ClientAccounts: []string{"a"}}, want: "refers to ClientAccount"},
		{name: "upstream of withdrawn pool", withdrawn: &savoryloft.EntityNames{Pools: []string{"p"}, Routes: []string{"r"}}, want: "refers to Pool"},
		{name: "target not positive", added: classes(savoryloft.Class{Name: "d"}), want: "not positive"},
		{name: "floors too high", changed: classes(savoryloft.Class{Name: "c", Tier: 1, FirstToken: 1, FloorPercent: 10}), added: &savoryloft.Entities{
			Classes: []savoryloft.Class{
				{Name: "d", Tier: 2, FirstToken: 1, FloorPercent: 10},
				{Name: "e", Tier: 2, FirstToken: 1, FloorPercent: 1},
			},
			Routes: []savoryloft.Route{
				{Name: "s", Method: "POST", Path: "/s", Class: "d", Pool: "p"},
				{Name: "t", Method: "POST", Path: "/t", Class: "e", Pool: "p"},
			},
		}, want: "add up to 21%"},
		{name: "same route twice", added: &savoryloft.Entities{Routes: []savoryloft.Route{
			{Name: "s", Method: "POST", Path: "/x", Class: "c", Pool: "p"},
		}}, want: "match the same requests"},
		{name: "same hash twice", added: &savoryloft.Entities{Keys: []savoryloft.Key{
			{Name: "l", ClientAccount: "a", Hash: hashOf(1)},
		}}, want: "same hash"},
		{name: "pool bounds", changed: &savoryloft.Entities{Pools: []savoryloft.Pool{
			{Name: "p", Kind: savoryloft.PoolKindEngine, Slots: 4, Minimum: 3, Maximum: 2},
		}}, want: "above Maximum"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newBaseState(t)
			before := s.Export()
			applyRecord(t, s, newNote("n", tt.base, tt.added, tt.changed, tt.withdrawn))
			v, ok := s.Verdict("n")
			require.True(t, ok)
			if tt.want == "" {
				require.Empty(t, v.Rejected)
				return
			}
			require.Contains(t, v.Rejected, tt.want)
			require.Equal(t, before.Entities, s.Export().Entities, "a rejected note must not change the state")
		})
	}
}

func TestRacingOperators(t *testing.T) {
	s := newBaseState(t)
	first := newClass("c", 2)
	second := newClass("c", 3)
	applyRecord(t, s, newNote("one", 0, nil, &savoryloft.Entities{Classes: []savoryloft.Class{first}}, nil))
	applyRecord(t, s, newNote("two", 0, nil, &savoryloft.Entities{Classes: []savoryloft.Class{second}}, nil))
	one, _ := s.Verdict("one")
	two, _ := s.Verdict("two")
	require.Empty(t, one.Rejected)
	require.Contains(t, two.Rejected, `changed by note "one" of operator "op-one"`)
	require.Equal(t, 2, s.Classes["c"].Tier)
}

func TestRepeatedNoteChangesNothing(t *testing.T) {
	s := newBaseState(t)
	withdraw := newNote("w", 0, nil, nil, &savoryloft.EntityNames{Keys: []string{"k"}})
	applyRecord(t, s, withdraw)
	applyRecord(t, s, newNote("again", 1, &savoryloft.Entities{Keys: []savoryloft.Key{{Name: "k", ClientAccount: "a", Hash: hashOf(2)}}}, nil, nil))
	applyRecord(t, s, withdraw) // The operator repeats the note after a lost response.
	require.Contains(t, s.Keys, "k")
	v, _ := s.Verdict("w")
	require.Equal(t, 1, v.Offset)
}

func TestUnknownFieldIsSkipped(t *testing.T) {
	s := newBaseState(t)
	s.Apply(1, []byte(`{"ID": "x", "Note": {"ID": "typo", "Base": 0, "Wihtdrawn": {"Keys": ["k"]}}}`))
	require.Equal(t, 1, s.Offset)
	_, ok := s.Verdict("typo")
	require.False(t, ok)
	require.Contains(t, s.Keys, "k")
}

func TestOffsetNeverGoesBack(t *testing.T) {
	s := newBaseState(t)
	applyRecord(t, s, newNote("w", 0, nil, nil, &savoryloft.EntityNames{Keys: []string{"k"}}))
	hash := s.Hash()
	data, err := json.Marshal(newNote("old", -1, &savoryloft.Entities{Classes: []savoryloft.Class{newClass("z", 0)}}, nil, nil))
	require.NoError(t, err)
	require.Nil(t, s.Apply(0, data))
	require.Equal(t, hash, s.Hash())
}

// randomRecord returns a random record of a random kind, which may be invalid.
func randomRecord(t *rapid.T, n int) savoryloft.Record {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	r := savoryloft.Record{ID: fmt.Sprint("r", n)}
	offset := rapid.IntRange(-1, n)
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		r.Claim = &savoryloft.LeaseClaim{Instance: name.Draw(t, "i"), Saw: offset.Draw(t, "saw"), TTL: 5e9}
	case 1:
		r.Renewal = &savoryloft.LeaseRenewal{Claim: max(0, offset.Draw(t, "claim"))}
	case 2:
		r.Release = &savoryloft.LeaseRelease{Claim: max(0, offset.Draw(t, "claim"))}
	case 3:
		r.Intent = &savoryloft.OrderIntent{Claim: max(0, offset.Draw(t, "claim")), Order: savoryloft.Order{
			ID: name.Draw(t, "order"), FailureDomain: "d", Pool: "p", Action: savoryloft.OrderActionStart,
		}}
	case 4:
		r.Outcome = &savoryloft.OrderOutcome{OrderID: name.Draw(t, "order"), Result: savoryloft.OrderOutcomeResultDone}
	case 5:
		r.Close = &savoryloft.WindowClose{Window: 60 * rapid.IntRange(1, 5).Draw(t, "w"), From: rapid.IntRange(0, 3).Draw(t, "from"), UpTo: rapid.IntRange(0, 3).Draw(t, "to")}
	case 6:
		r.Sent = &savoryloft.WindowSent{Window: 60 * rapid.IntRange(1, 5).Draw(t, "w")}
	default:
		e := &savoryloft.Entities{
			ClientAccounts: []savoryloft.ClientAccount{{Name: name.Draw(t, "account"), Weight: 1}},
			Keys:           []savoryloft.Key{{Name: name.Draw(t, "key"), ClientAccount: name.Draw(t, "of"), Hash: hashOf(n)}},
		}
		r.Note = &savoryloft.Note{ID: fmt.Sprint("n", rapid.IntRange(0, n).Draw(t, "id")), Base: offset.Draw(t, "base")}
		switch rapid.IntRange(0, 2).Draw(t, "part") {
		case 0:
			r.Note.Added = e
		case 1:
			r.Note.Changed = e
		default:
			r.Note.Withdrawn = &savoryloft.EntityNames{Keys: []string{name.Draw(t, "gone")}}
		}
	}
	return r
}

// TestSnapshotAndTailEqualWholeStream checks that applying all records and
// restoring a snapshot at any offset before applying the rest give the same
// state.
func TestSnapshotAndTailEqualWholeStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "records")
		cut := rapid.IntRange(0, count-1).Draw(t, "cut")
		whole := folder.New()
		var restored *folder.State
		for n := range count {
			data, err := json.Marshal(randomRecord(t, n))
			require.NoError(t, err)
			whole.Apply(n, data)
			if restored != nil {
				restored.Apply(n, data)
			}
			if n == cut {
				data, err := json.Marshal(whole.Snapshot())
				require.NoError(t, err)
				var snap savoryloft.Snapshot
				require.NoError(t, json.Unmarshal(data, &snap))
				restored, err = folder.Restore(snap)
				require.NoError(t, err)
			}
			for _, k := range whole.Keys {
				require.Contains(t, whole.Accounts, k.ClientAccount)
			}
		}
		require.Equal(t, whole.Hash(), restored.Hash())
	})
}

func TestDamagedSnapshotIsRefused(t *testing.T) {
	snap := newBaseState(t).Snapshot()
	snap.State.Entities.Classes[0].Tier = 0
	_, err := folder.Restore(snap)
	require.ErrorContains(t, err, "hash")
}

func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"ID": "n", "Note": {"ID": "n", "Base": -1}}`))
	f.Add([]byte(`{"ID": "c", "Claim": {"Instance": "a", "Incarnation": 1, "Saw": -1, "TTL": "5s"}}`))
	f.Add([]byte(`{"ID": "s", "Snapshot": {"UpTo": 0, "Hash": "", "State": {"Offset": 0, "Entities": {}, "Lease": {"Claim": -1, "Last": -1}}}}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := newBaseState(t), newBaseState(t)
		a.Apply(1, data)
		b.Apply(1, data)
		require.Equal(t, 1, a.Offset)
		require.Equal(t, a.Hash(), b.Hash())
	})
}

// TestFirstCloseStands checks that the first close in log order wins when two
// instances close the same window.
func TestFirstCloseStands(t *testing.T) {
	s := newBaseState(t)
	closing := func(id string, window, from, upTo, tokens int) savoryloft.Record {
		return savoryloft.Record{ID: id, Close: &savoryloft.WindowClose{
			Window: window, From: from, UpTo: upTo,
			Figures: []savoryloft.UsageFigure{{ClientAccount: "a", Class: "c", OutputTokens: tokens}},
		}}
	}
	applyRecord(t, s, closing("first", 60, 0, 10, 7))
	applyRecord(t, s, closing("second", 60, 0, 12, 9))
	applyRecord(t, s, closing("gap", 120, 12, 20, 9))
	require.Len(t, s.Unsent, 1)
	require.Equal(t, 7, s.Unsent[0].Figures[0].OutputTokens)
	applyRecord(t, s, closing("next", 120, 10, 20, 5))
	require.Len(t, s.Unsent, 2)
	applyRecord(t, s, savoryloft.Record{ID: "sent", Sent: &savoryloft.WindowSent{Window: 60}})
	applyRecord(t, s, closing("late", 60, 20, 21, 1))
	require.Len(t, s.Unsent, 1)
	require.Equal(t, 120, s.Unsent[0].Window)
}
