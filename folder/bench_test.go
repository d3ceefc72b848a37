package folder_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/folder"
)

// newStateOfSize returns a state with the given number of client accounts, each
// with two keys, and of fixed upstreams.
func newStateOfSize(t require.TestingT, accounts, upstreams int) *folder.State {
	s := newBaseState(t)
	e := &savoryloft.Entities{}
	for i := range accounts {
		name := fmt.Sprint("account-", i)
		e.ClientAccounts = append(e.ClientAccounts, savoryloft.ClientAccount{Name: name, Weight: 1})
		for k := range 2 {
			e.Keys = append(e.Keys, savoryloft.Key{Name: fmt.Sprint(name, "-", k), ClientAccount: name, Hash: hashOf(1000 + 2*i + k)})
		}
	}
	for i := range upstreams {
		e.Upstreams = append(e.Upstreams, savoryloft.Upstream{
			Name: fmt.Sprint("upstream-", i), Pool: "p", Address: "127.0.0.1:9000", FailureDomain: "d",
		})
	}
	applyRecord(t, s, newNote("size", 0, e, nil, nil))
	return s
}

var sizes = []struct{ accounts, upstreams int }{{10, 24}, {100, 400}, {340, 3700}}

func BenchmarkApplyNote(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("accounts=%d,upstreams=%d", n.accounts, n.upstreams), func(b *testing.B) {
			s := newStateOfSize(b, n.accounts, n.upstreams)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				applyRecord(b, s, newNote(fmt.Sprint("n", i), s.Offset, nil, &savoryloft.Entities{Classes: []savoryloft.Class{newClass("c", i%4)}}, nil))
			}
		})
	}
}

func BenchmarkApplyRenewal(b *testing.B) {
	s := newBaseState(b)
	applyRecord(b, s, savoryloft.Record{ID: "c", Claim: &savoryloft.LeaseClaim{Instance: "a", Saw: -1, TTL: 5e9}})
	data, err := json.Marshal(savoryloft.Record{ID: "r", Renewal: &savoryloft.LeaseRenewal{Claim: 1}})
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		s.Apply(s.Offset+1, data)
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("accounts=%d,upstreams=%d", n.accounts, n.upstreams), func(b *testing.B) {
			s := newStateOfSize(b, n.accounts, n.upstreams)
			size := 0
			for b.Loop() {
				data, err := json.Marshal(s.Snapshot())
				require.NoError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
