// Package folder builds a state from the records of the control stream: the
// configuration defined by release notes, the lease, orders without an outcome
// and the usage windows. The state is a deterministic function of the records in
// offset order, so all instances that have applied the records up to an offset
// have the same state and the same verdict on each note, without communication
// between them.
//
// # Usage
//
//	s := folder.New()
//	for _, r := range result.Records {
//		s.Apply(r.Offset, []byte(r.Data))
//	}
//	verdict, ok := s.Verdict("note-17")
//
// Records that cannot be parsed are skipped by all instances alike.
package folder

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/parser"
)

// maxVerdicts is the number of verdicts that are stored. A repeated note is
// detected only while the verdict on it is stored.
const maxVerdicts = 8192

// State is the result of applying the control stream up to Offset.
type State struct {
	Offset int // Offset of the last applied record, or -1.

	Accounts  map[string]savoryloft.ClientAccount
	Keys      map[string]savoryloft.Key
	Classes   map[string]savoryloft.Class
	Routes    map[string]savoryloft.Route
	Pools     map[string]savoryloft.Pool
	Upstreams map[string]savoryloft.Upstream

	Lease   savoryloft.LeaseState
	Intents map[string]savoryloft.OrderIntent // Orders without an outcome, by order ID.
	Closed  *savoryloft.WindowClose           // The last closed window.
	Unsent  []savoryloft.WindowClose          // Closed windows without an acknowledged report.

	versions     map[entityKey]savoryloft.EntityVersion
	verdicts     []savoryloft.AppliedNote
	verdictsByID map[string]savoryloft.AppliedNote
}

// entityKey identifies an entity of the configuration.
type entityKey struct {
	Kind string
	Name string
}

// New returns the state before the first record.
func New() *State {
	return &State{
		Offset:       -1,
		Accounts:     map[string]savoryloft.ClientAccount{},
		Keys:         map[string]savoryloft.Key{},
		Classes:      map[string]savoryloft.Class{},
		Routes:       map[string]savoryloft.Route{},
		Pools:        map[string]savoryloft.Pool{},
		Upstreams:    map[string]savoryloft.Upstream{},
		Lease:        unheldLease(),
		Intents:      map[string]savoryloft.OrderIntent{},
		versions:     map[entityKey]savoryloft.EntityVersion{},
		verdictsByID: map[string]savoryloft.AppliedNote{},
	}
}

// Apply applies the record at an offset and returns the parsed record. It
// returns nil for a record at or below s.Offset, which is ignored, and for a
// record that cannot be parsed, which only advances s.Offset.
func (s *State) Apply(offset int, data []byte) *savoryloft.Record {
	if offset <= s.Offset {
		return nil
	}
	s.Offset = offset
	r, err := parser.Record(data)
	if err != nil {
		return nil
	}
	switch {
	case r.Note != nil:
		s.applyNote(offset, *r.Note)
	case r.Claim != nil:
		s.applyClaim(offset, *r.Claim)
	case r.Renewal != nil:
		s.applyRenewal(offset, *r.Renewal)
	case r.Release != nil:
		s.applyRelease(*r.Release)
	case r.Intent != nil:
		s.applyIntent(offset, *r.Intent)
	case r.Outcome != nil:
		delete(s.Intents, r.Outcome.OrderID)
	case r.Close != nil:
		s.applyClose(*r.Close)
	case r.Sent != nil:
		s.applySent(*r.Sent)
	}
	return &r
}

// Verdict returns the verdict on a note.
func (s *State) Verdict(noteID string) (savoryloft.AppliedNote, bool) {
	v, ok := s.verdictsByID[noteID]
	return v, ok
}

// Notes returns the stored verdicts in offset order.
func (s *State) Notes() []savoryloft.AppliedNote { return s.verdicts }

// Export returns the state in the form that snapshots store. Its lists are in a
// defined order, so that equal states have equal hashes.
func (s *State) Export() savoryloft.ControlState {
	out := savoryloft.ControlState{
		Offset: s.Offset,
		Entities: savoryloft.Entities{
			ClientAccounts: slices.SortedFunc(maps.Values(s.Accounts), func(a, b savoryloft.ClientAccount) int { return cmp.Compare(a.Name, b.Name) }),
			Keys:           slices.SortedFunc(maps.Values(s.Keys), func(a, b savoryloft.Key) int { return cmp.Compare(a.Name, b.Name) }),
			Classes:        slices.SortedFunc(maps.Values(s.Classes), func(a, b savoryloft.Class) int { return cmp.Compare(a.Name, b.Name) }),
			Routes:         slices.SortedFunc(maps.Values(s.Routes), func(a, b savoryloft.Route) int { return cmp.Compare(a.Name, b.Name) }),
			Pools:          slices.SortedFunc(maps.Values(s.Pools), func(a, b savoryloft.Pool) int { return cmp.Compare(a.Name, b.Name) }),
			Upstreams:      slices.SortedFunc(maps.Values(s.Upstreams), func(a, b savoryloft.Upstream) int { return cmp.Compare(a.Name, b.Name) }),
		},
		Versions: slices.SortedFunc(maps.Values(s.versions), func(a, b savoryloft.EntityVersion) int {
			return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
		}),
		Notes:   append([]savoryloft.AppliedNote(nil), s.verdicts...),
		Lease:   s.Lease,
		Intents: slices.SortedFunc(maps.Values(s.Intents), func(a, b savoryloft.OrderIntent) int { return cmp.Compare(a.Order.ID, b.Order.ID) }),
		Closed:  s.Closed,
		Unsent:  append([]savoryloft.WindowClose(nil), s.Unsent...),
	}
	return out
}

// Import returns the state that Export returned as c.
func Import(c savoryloft.ControlState) *State {
	s := New()
	s.Offset = c.Offset
	s.Lease = c.Lease
	s.Closed = c.Closed
	s.Unsent = c.Unsent
	s.upsert(&c.Entities)
	for _, v := range c.Versions {
		s.versions[entityKey{v.Kind, v.Name}] = v
	}
	for _, n := range c.Notes {
		s.storeVerdict(n)
	}
	for _, i := range c.Intents {
		s.Intents[i.Order.ID] = i
	}
	return s
}

// Hash returns the SHA-256 of the JSON encoding of s.Export() in hex.
func (s *State) Hash() string {
	data, err := json.Marshal(s.Export())
	if err != nil {
		panic("encode control state: " + err.Error())
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Snapshot returns the state as a snapshot record.
func (s *State) Snapshot() savoryloft.Snapshot {
	return savoryloft.Snapshot{UpTo: s.Offset, Hash: s.Hash(), State: s.Export()}
}

// Restore returns the state stored in a snapshot. It returns an error if the
// offset or the hash of the state does not match the snapshot.
func Restore(snap savoryloft.Snapshot) (*State, error) {
	s := Import(snap.State)
	if s.Offset != snap.UpTo {
		return nil, errors.Errorf("snapshot up to offset %d contains a state at offset %d", snap.UpTo, s.Offset)
	}
	if h := s.Hash(); h != snap.Hash {
		return nil, errors.Errorf("snapshot at offset %d has hash %s, want %s", snap.UpTo, h, snap.Hash)
	}
	return s, nil
}
