package folder

import (
	"maps"

	"savoryloft.example/savoryloft"
)

func entitiesOf(e *savoryloft.Entities) []entity {
	if e == nil {
		return nil
	}
	var list []entity
	for _, v := range e.ClientAccounts {
		list = append(list, entity{kindAccount, v.Name})
	}
	for _, v := range e.Keys {
		list = append(list, entity{kindKey, v.Name})
	}
	for _, v := range e.Classes {
		list = append(list, entity{kindClass, v.Name})
	}
	for _, v := range e.Routes {
		list = append(list, entity{kindRoute, v.Name})
	}
	for _, v := range e.Pools {
		list = append(list, entity{kindPool, v.Name})
	}
	for _, v := range e.Upstreams {
		list = append(list, entity{kindUpstream, v.Name})
	}
	return list
}

func namesOf(n *savoryloft.EntityNames) []entity {
	if n == nil {
		return nil
	}
	var list []entity
	add := func(kind string, names []string) {
		for _, name := range names {
			list = append(list, entity{kind, name})
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

func (s *State) exists(e entity) bool {
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

func (s *State) put(e *savoryloft.Entities) {
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

func (s *State) drop(n *savoryloft.EntityNames) {
	for _, e := range namesOf(n) {
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

// copyEntities returns a state with copies of the entity maps alone.
func (s *State) copyEntities() *State {
	return &State{
		Accounts:  maps.Clone(s.Accounts),
		Keys:      maps.Clone(s.Keys),
		Classes:   maps.Clone(s.Classes),
		Routes:    maps.Clone(s.Routes),
		Pools:     maps.Clone(s.Pools),
		Upstreams: maps.Clone(s.Upstreams),
	}
}

// adopt replaces the entity maps by those of next.
func (s *State) adopt(next *State) {
	s.Accounts = next.Accounts
	s.Keys = next.Keys
	s.Classes = next.Classes
	s.Routes = next.Routes
	s.Pools = next.Pools
	s.Upstreams = next.Upstreams
}
