// Package router finds what a configuration says of a request: its route, its
// service and the client account that its key stands for.
//
// # Usage
//
//	t := router.New(configuration)
//	route := t.Find("quotes.example", "/draft/7")
//	identity, ok := t.Authenticate(route, key)
//	service := t.Service(route, requestID)
//
// A Table never changes, so a request that reads it once sees one version.
package router

import (
	"hash/fnv"
	"slices"
	"strings"

	"savoryloft.example/savoryloft"
)

// Table is a configuration prepared for look-ups.
type Table struct {
	Version int
	Limits  savoryloft.CallerLimits
	Routes  []savoryloft.PathRoute

	byHost   map[string][]*savoryloft.PathRoute // Longest prefix first.
	accounts map[string]*savoryloft.KeyedAccount
	services map[string]*savoryloft.UpstreamService
	needKeys bool
}

// Identity is who a request runs for and how urgent it is.
type Identity struct {
	Account string // Empty on public routes.
	Rank    int
}

// New returns the table of a configuration.
func New(c savoryloft.Configuration) *Table {
	t := &Table{
		Version: c.Version, Limits: c.Limits, Routes: c.Routes,
		byHost:   map[string][]*savoryloft.PathRoute{},
		accounts: map[string]*savoryloft.KeyedAccount{},
		services: map[string]*savoryloft.UpstreamService{},
		needKeys: c.Accounts != nil,
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *savoryloft.PathRoute) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			t.accounts[k] = &c.Accounts[i]
		}
	}
	return t
}

// Find returns the route with the longest prefix of the path, or nil.
func (t *Table) Find(host, uri string) *savoryloft.PathRoute {
	path, _, _ := strings.Cut(uri, "?")
	host = strings.ToLower(host)
	routes, ok := t.byHost[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		routes = t.byHost[name]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey tells whether requests of a route need a key.
func (t *Table) NeedsKey(r *savoryloft.PathRoute) bool { return t.needKeys && !r.Public }

// Authenticate returns who a request with the given key runs for. ok is false
// when the route needs a key and this is none.
func (t *Table) Authenticate(r *savoryloft.PathRoute, key string) (Identity, bool) {
	id := Identity{Rank: r.Rank}
	if !t.NeedsKey(r) {
		return id, true
	}
	a, ok := t.accounts[key]
	if !ok || key == "" {
		return id, false
	}
	id.Account = a.Name
	if a.HasRank {
		id.Rank = a.Rank
	}
	return id, true
}

// Service picks the service of a request by the weights of its route.
func (t *Table) Service(r *savoryloft.PathRoute, requestID string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return r.Shares[0].Service
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(requestID))
	point := int(h.Sum32() % uint32(total))
	for _, s := range r.Shares {
		if point -= max(s.Weight, 0); point < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Traits returns what the configuration says of a service, or nil.
func (t *Table) Traits(service string) *savoryloft.UpstreamService { return t.services[service] }

// Services returns the names of all services in order.
func (t *Table) Services() []string {
	names := make([]string, 0, len(t.services))
	for n := range t.services {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
