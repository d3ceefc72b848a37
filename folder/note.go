package folder

import (
	"fmt"
	"maps"
	"slices"

	"savoryloft.example/savoryloft"
)

// Kinds of entities in verdicts and versions.
const (
	kindAccount  = "ClientAccount"
	kindKey      = "Key"
	kindClass    = "Class"
	kindRoute    = "Route"
	kindPool     = "Pool"
	kindUpstream = "Upstream"
)

// maxFloorPercent limits the sum of the floors of the classes that share a pool,
// so that floors cannot starve the highest tier.
const maxFloorPercent = 20

// Check returns the reason why the note would be rejected as the next record, or
// an empty string if it would be accepted.
func (s *State) Check(n savoryloft.Note) string {
	if v, ok := s.verdictsByID[n.ID]; ok {
		return fmt.Sprintf("note %q repeats the note at offset %d", n.ID, v.Offset)
	}
	_, reason := s.evaluateNote(s.Offset+1, n)
	return reason
}

// applyNote applies either all changes of a note or none of them. A note with the
// ID of an earlier note is ignored, so that a note can be published again after a
// lost response.
func (s *State) applyNote(offset int, n savoryloft.Note) {
	if _, ok := s.verdictsByID[n.ID]; ok {
		return
	}
	next, reason := s.evaluateNote(offset, n)
	verdict := savoryloft.AppliedNote{ID: n.ID, Offset: offset, Operator: n.Operator, Rejected: reason}
	if reason == "" {
		s.replaceEntities(next)
		for _, e := range entityKeysOfNote(n) {
			s.versions[e] = savoryloft.EntityVersion{Kind: e.Kind, Name: e.Name, Offset: offset, NoteID: n.ID}
		}
	}
	s.storeVerdict(verdict)
}

func (s *State) storeVerdict(v savoryloft.AppliedNote) {
	s.verdicts = append(s.verdicts, v)
	s.verdictsByID[v.ID] = v
	if len(s.verdicts) > maxVerdicts {
		delete(s.verdictsByID, s.verdicts[0].ID)
		s.verdicts = append([]savoryloft.AppliedNote(nil), s.verdicts[1:]...)
	}
}

// evaluateNote returns the entities after a note, or the reason for its rejection.
// The checks visit the entities in a fixed order, so that all instances return
// the same reason.
func (s *State) evaluateNote(offset int, n savoryloft.Note) (*State, string) {
	if n.Base >= offset {
		return nil, fmt.Sprintf("base %d is not below the note's own offset %d", n.Base, offset)
	}
	seen := map[entityKey]bool{}
	for _, e := range entityKeysOfNote(n) {
		if seen[e] {
			return nil, fmt.Sprintf("%s %q is named twice", e.Kind, e.Name)
		}
		seen[e] = true
		if v := s.versions[e]; v.NoteID != "" && v.Offset > n.Base {
			return nil, fmt.Sprintf("%s %q was changed by note %q of operator %q at offset %d, after base %d",
				e.Kind, e.Name, v.NoteID, s.verdictsByID[v.NoteID].Operator, v.Offset, n.Base)
		}
	}
	if reason := s.checkExistence(n); reason != "" {
		return nil, reason
	}
	next := s.cloneEntities()
	next.remove(n.Withdrawn)
	next.upsert(n.Added)
	next.upsert(n.Changed)
	if reason := next.checkValues(); reason != "" {
		return nil, reason
	}
	return next, next.checkReferences()
}

// checkExistence returns an error text if an added entity exists already or a
// changed or withdrawn one does not, and otherwise an empty string.
func (s *State) checkExistence(n savoryloft.Note) string {
	for _, e := range entityKeys(n.Added) {
		if s.exists(e) {
			return fmt.Sprintf("%s %q is added but exists already", e.Kind, e.Name)
		}
	}
	for _, e := range append(entityKeys(n.Changed), namedEntityKeys(n.Withdrawn)...) {
		if !s.exists(e) {
			return fmt.Sprintf("%s %q is changed or withdrawn but does not exist", e.Kind, e.Name)
		}
	}
	return ""
}

func (s *State) checkReferences() string {
	for _, name := range slices.Sorted(maps.Keys(s.Keys)) {
		k := s.Keys[name]
		if _, ok := s.Accounts[k.ClientAccount]; !ok {
			return missingReference(kindKey, k.Name, kindAccount, k.ClientAccount)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		r := s.Routes[name]
		if _, ok := s.Classes[r.Class]; !ok {
			return missingReference(kindRoute, r.Name, kindClass, r.Class)
		}
		if _, ok := s.Pools[r.Pool]; !ok {
			return missingReference(kindRoute, r.Name, kindPool, r.Pool)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Upstreams)) {
		u := s.Upstreams[name]
		if _, ok := s.Pools[u.Pool]; !ok {
			return missingReference(kindUpstream, u.Name, kindPool, u.Pool)
		}
	}
	return ""
}

func missingReference(kind, name, wantKind, want string) string {
	return fmt.Sprintf("%s %q refers to %s %q, which does not exist", kind, name, wantKind, want)
}

func (s *State) checkValues() string {
	for _, name := range slices.Sorted(maps.Keys(s.Classes)) {
		c := s.Classes[name]
		if c.FirstToken <= 0 || c.BetweenTokens < 0 || c.Patience < 0 {
			return fmt.Sprintf("Class %q has a target that is not positive", c.Name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Pools)) {
		p := s.Pools[name]
		if p.Minimum > p.Maximum {
			return fmt.Sprintf("Pool %q has Minimum %d above Maximum %d", p.Name, p.Minimum, p.Maximum)
		}
	}
	if reason := s.checkRoutes(); reason != "" {
		return reason
	}
	hashes := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(s.Keys)) {
		k := s.Keys[name]
		if other, ok := hashes[k.Hash]; ok {
			return fmt.Sprintf("Keys %q and %q have the same hash", min(k.Name, other), max(k.Name, other))
		}
		hashes[k.Hash] = k.Name
	}
	return ""
}

func (s *State) checkRoutes() string {
	type match struct{ method, path, model string }
	matches := map[match]string{}
	floors := map[string]map[string]int{} // Floors in percent, by pool and class.
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		r := s.Routes[name]
		m := match{string(r.Method), r.Path, r.Model}
		if other, ok := matches[m]; ok {
			return fmt.Sprintf("Routes %q and %q match the same requests", min(r.Name, other), max(r.Name, other))
		}
		matches[m] = r.Name
		if floors[r.Pool] == nil {
			floors[r.Pool] = map[string]int{}
		}
		floors[r.Pool][r.Class] = s.Classes[r.Class].FloorPercent
	}
	for _, pool := range slices.Sorted(maps.Keys(floors)) {
		sum := 0
		for _, f := range floors[pool] {
			sum += f
		}
		if sum > maxFloorPercent {
			return fmt.Sprintf("floors in Pool %q add up to %d%%, at most %d%% are allowed", pool, sum, maxFloorPercent)
		}
	}
	return ""
}

// entityKeysOfNote returns the keys of all entities that a note adds, changes or
// withdraws, in this order.
func entityKeysOfNote(n savoryloft.Note) []entityKey {
	list := entityKeys(n.Added)
	list = append(list, entityKeys(n.Changed)...)
	return append(list, namedEntityKeys(n.Withdrawn)...)
}
