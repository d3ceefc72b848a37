package folder

import (
	"maps"

	"savoryloft.example/savoryloft"
)

// entityKeys returns the keys of all entities in e.
func entityKeys(e *savoryloft.Entities) []entityKey {
	if e == nil {
		return nil
	}
	var list []entityKey
	for _, v := range e.ClientAccounts {
		list = append(list, entityKey{kindAccount, v.Name})
	}
	for _, v := range e.Keys {
		list = append(list, entityKey{kindKey, v.Name})
	}
	for _, v := range e.Classes {
		list = append(list, entityKey{kindClass, v.Name})
	}
	for _, v := range e.Routes {
		list = append(list, entityKey{kindRoute, v.Name})
	}
	for _, v := range e.Pools {
		list = append(list, entityKey{kindPool, v.Name})
	}
	for _, v := range e.Upstreams {
		list = append(list, entityKey{kindUpstream, v.Name})
	}
	return list
}

// namedEntityKeys returns the keys of all entities that n names.
func namedEntityKeys(n *savoryloft.EntityNames) []entityKey {
	if n == nil {
		return nil
	}
	var list []entityKey
	add := func(kind string, names []string) {
		for _, name := range names {
			list = append(list, entityKey{kind, name})
		}
	}
	add(kindAccount, n.ClientAccounts)
	add(kindKey, n.Keys)
	add(kindClass, n.Classes)
	add(kindRoute, n.Routes)
	add(kindPool, n.Pools)
	add(kindUpstream, n.Upstreams)
	return list
}

func (s *State) exists(e entityKey) bool {
	ok := false
	switch e.Kind {
	case kindAccount:
		_, ok = s.Accounts[e.Name]
	case kindKey:
		_, ok = s.Keys[e.Name]
	case kindClass:
		_, ok = s.Classes[e.Name]
	case kindRoute:
		_, ok = s.Routes[e.Name]
	case kindPool:
		_, ok = s.Pools[e.Name]
	case kindUpstream:
		_, ok = s.Upstreams[e.Name]
	}
	return ok
}

func (s *State) upsert(e *savoryloft.Entities) {
	if e == nil {
		return
	}
	for _, v := range e.ClientAccounts {
		s.Accounts[v.Name] = v
	}
	for _, v := range e.Keys {
		s.Keys[v.Name] = v
	}
	for _, v := range e.Classes {
		s.Classes[v.Name] = v
	}
	for _, v := range e.Routes {
		s.Routes[v.Name] = v
	}
	for _, v := range e.Pools {
		s.Pools[v.Name] = v
	}
	for _, v := range e.Upstreams {
		s.Upstreams[v.Name] = v
	}
}

func (s *State) remove(n *savoryloft.EntityNames) {
	for _, e := range namedEntityKeys(n) {
		switch e.Kind {
		case kindAccount:
			delete(s.Accounts, e.Name)
		case kindKey:
			delete(s.Keys, e.Name)
		case kindClass:
			delete(s.Classes, e.Name)
		case kindRoute:
			delete(s.Routes, e.Name)
		case kindPool:
			delete(s.Pools, e.Name)
		case kindUpstream:
			delete(s.Upstreams, e.Name)
		}
	}
}

// cloneEntities returns a state that has copies of the entity maps and nothing
// else.
func (s *State) cloneEntities() *State {
	return &State{
		Accounts:  maps.Clone(s.Accounts),
		Keys:      maps.Clone(s.Keys),
		Classes:   maps.Clone(s.Classes),
		Routes:    maps.Clone(s.Routes),
		Pools:     maps.Clone(s.Pools),
		Upstreams: maps.Clone(s.Upstreams),
	}
}

// replaceEntities replaces the entity maps of s with those of next.
func (s *State) replaceEntities(next *State) {
	s.Accounts = next.Accounts
	s.Keys = next.Keys
	s.Classes = next.Classes
	s.Routes = next.Routes
	s.Pools = next.Pools
	s.Upstreams = next.Upstreams
}
