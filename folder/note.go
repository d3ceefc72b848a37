package folder

import (
	"fmt"
	"maps"
	"slices"

	"savoryloft.example/savoryloft"
)

// Kinds of entities, as they are named in verdicts and versions.
const (
	kindAccount  = "ClientAccount"
	kindKey      = "Key"
	kindClass    = "Class"
	kindRoute    = "Route"
	kindPool     = "Pool"
	kindUpstream = "Upstream"
)

// maxFloorPercent bounds the sum of the floors of the classes that share a
// pool, so that floors can not take the pool from the highest tier.
const maxFloorPercent = 20

// Check returns the reason for which a note would be rejected if it came next,
// or an empty string.
func (s *State) Check(n savoryloft.Note) string {
	if v, ok := s.byNote[n.ID]; ok {
		return fmt.Sprintf("note %q repeats the note at offset %d", n.ID, v.Offset)
	}
	_, reason := s.prepare(s.Offset+1, n)
	return reason
}

// applyNote accepts a note whole or rejects it whole. A repeat of an earlier
// ID changes nothing, so that publishing again after a lost answer is safe.
func (s *State) applyNote(offset int, n savoryloft.Note) {
	if _, ok := s.byNote[n.ID]; ok {
		return
	}
	next, reason := s.prepare(offset, n)
	verdict := savoryloft.AppliedNote{ID: n.ID, Offset: offset, Operator: n.Operator, Rejected: reason}
	if reason == "" {
		s.adopt(next)
		for _, e := range touched(n) {
			s.versions[e] = savoryloft.EntityVersion{Kind: e.Kind, Name: e.Name, Offset: offset, NoteID: n.ID}
		}
	}
	s.keepVerdict(verdict)
}

func (s *State) keepVerdict(v savoryloft.AppliedNote) {
	s.notes = append(s.notes, v)
	s.byNote[v.ID] = v
	if len(s.notes) > maxNotes {
		delete(s.byNote, s.notes[0].ID)
		s.notes = append([]savoryloft.AppliedNote(nil), s.notes[1:]...)
	}
}

// prepare returns the entities after a note, or the reason for its rejection.
// Checks go through entities in the order of their names, so that the reason is
// the same on all instances.
func (s *State) prepare(offset int, n savoryloft.Note) (*State, string) {
	if n.Base >= offset {
		return nil, fmt.Sprintf("base %d is not below the note's own offset %d", n.Base, offset)
	}
	seen := map[entity]bool{}
	for _, e := range touched(n) {
		if seen[e] {
			return nil, fmt.Sprintf("%s %q is named twice", e.Kind, e.Name)
		}
		seen[e] = true
		if v := s.versions[e]; v.NoteID != "" && v.Offset > n.Base {
			return nil, fmt.Sprintf("%s %q was changed by note %q of operator %q at offset %d, after base %d",
				e.Kind, e.Name, v.NoteID, s.byNote[v.NoteID].Operator, v.Offset, n.Base)
		}
	}
	if reason := s.checkExistence(n); reason != "" {
		return nil, reason
	}
	next := s.copyEntities()
	next.drop(n.Withdrawn)
	next.put(n.Added)
	next.put(n.Changed)
	if reason := next.checkValues(); reason != "" {
		return nil, reason
	}
	return next, next.checkReferences()
}

func (s *State) checkExistence(n savoryloft.Note) string {
	for _, e := range entitiesOf(n.Added) {
		if s.exists(e) {
			return fmt.Sprintf("%s %q is added but exists already", e.Kind, e.Name)
		}
	}
	for _, e := range append(entitiesOf(n.Changed), namesOf(n.Withdrawn)...) {
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
			return dangling(kindKey, k.Name, kindAccount, k.ClientAccount)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		r := s.Routes[name]
		if _, ok := s.Classes[r.Class]; !ok {
			return dangling(kindRoute, r.Name, kindClass, r.Class)
		}
		if _, ok := s.Pools[r.Pool]; !ok {
			return dangling(kindRoute, r.Name, kindPool, r.Pool)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Upstreams)) {
		u := s.Upstreams[name]
		if _, ok := s.Pools[u.Pool]; !ok {
			return dangling(kindUpstream, u.Name, kindPool, u.Pool)
		}
	}
	return ""
}

func dangling(kind, name, wantKind, want string) string {
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
	floors := map[string]map[string]int{} // Floor by pool and class.
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

func touched(n savoryloft.Note) []entity {
	list := entitiesOf(n.Added)
	list = append(list, entitiesOf(n.Changed)...)
	return append(list, namesOf(n.Withdrawn)...)
}
