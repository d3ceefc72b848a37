// Package router looks up the route, the service and the client account of a
// request in a configuration.
//
// # Usage
//
//	t := router.New(configuration)
//	route := t.FindRoute("quotes.example", "/draft/7")
//	identity, ok := t.Authenticate(route, key)
//	service := t.SelectService(route, requestID)
//
// A Table is immutable, so a request that uses one table for all lookups uses a
// single version of the configuration.
package router

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/ranker"
)

// Table is a configuration indexed for lookups. It is safe for concurrent use.
type Table struct {
	Version int
	Limits  savoryloft.CallerLimits
	Routes  []savoryloft.PathRoute

	byHost      map[string][]*savoryloft.PathRoute     // By lower-case host; longest prefix first.
	accounts    map[string]*savoryloft.KeyedAccount    // By API key.
	services    map[string]*savoryloft.UpstreamService // By name.
	requireKeys bool                                   // Routes that are not public need an API key.
	urgencies   map[rankPair]int                       // See Identity.Urgency.
	bounds      map[string]*ranker.Service             // By service.
}

// rankPair is what requests are ordered by: the rank that takes precedence, and then the
// route's own.
type rankPair struct{ first, route int }

// Identity is the client account and the priority of a request.
type Identity struct {
	Account string // Empty on routes that need no key.
	Rank    int    // Priority of the request; 0 is the most urgent.
	// Urgency orders requests also within a rank: those of accounts with a rank of their
	// own by that of the route. 0 is the most urgent; there are no gaps.
	Urgency int
	Regions []string // Regions that the account's requests must not leave; any if empty.
}

// New returns a table of a configuration. API keys are required only if the
// configuration lists accounts.
func New(c savoryloft.Configuration) *Table {
	t := &Table{
		Version: c.Version, Limits: c.Limits, Routes: c.Routes,
		byHost:      map[string][]*savoryloft.PathRoute{},
		accounts:    map[string]*savoryloft.KeyedAccount{},
		services:    map[string]*savoryloft.UpstreamService{},
		requireKeys: c.Accounts != nil,
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
	t.urgencies = urgencies(c)
	t.bounds = t.boundServices(c)
	return t
}

// boundServices returns the bounds of each service by the urgencies that its requests can
// have.
func (t *Table) boundServices(c savoryloft.Configuration) map[string]*ranker.Service {
	kinds := map[string][]ranker.Kind{}
	for i := range c.Routes {
		r := &c.Routes[i]
		firstRanks := map[int]bool{}
		if !t.NeedsKey(r) {
			firstRanks[r.Rank] = true
		} else {
			for _, a := range c.Accounts {
				firstRanks[firstRank(r, &a)] = true
			}
		}
		for _, share := range r.Shares {
			for rank := range firstRanks {
				kinds[share.Service] = append(kinds[share.Service], ranker.Kind{Urgency: t.urgencies[rankPair{rank, r.Rank}], Objective: r.Objective})
			}
		}
	}
	bounds := map[string]*ranker.Service{}
	for service, list := range kinds {
		bounds[service] = ranker.New(list)
	}
	return bounds
}

// firstRank returns the rank that takes precedence for an account's requests on a route.
func firstRank(r *savoryloft.PathRoute, a *savoryloft.KeyedAccount) int {
	if a.HasRank {
		return a.Rank
	}
	return r.Rank
}

// Bounds returns the bounds by urgency of a service's requests.
func (t *Table) Bounds(service string) *ranker.Service {
	if s := t.bounds[service]; s != nil {
		return s
	}
	return &ranker.Service{}
}

// urgencies numbers the pairs of ranks that requests can have in a configuration, in
// order.
func urgencies(c savoryloft.Configuration) map[rankPair]int {
	numbers := map[rankPair]int{}
	var pairs []rankPair
	add := func(p rankPair) {
		if _, ok := numbers[p]; !ok {
			numbers[p] = 0
			pairs = append(pairs, p)
		}
	}
	accountRanks := map[int]bool{}
	for _, a := range c.Accounts {
		if a.HasRank {
			accountRanks[a.Rank] = true
		}
	}
	for _, r := range c.Routes {
		add(rankPair{r.Rank, r.Rank})
		for rank := range accountRanks {
			add(rankPair{rank, r.Rank})
		}
	}
	slices.SortFunc(pairs, func(a, b rankPair) int {
		return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.route, b.route))
	})
	for i, p := range pairs {
		numbers[p] = i
	}
	return numbers
}

// FindRoute returns the route of the host with the longest matching path prefix,
// or nil if no route matches. The host is matched case-insensitively; if a host
// with a port is not configured, it is looked up without the port.
func (t *Table) FindRoute(host, uri string) *savoryloft.PathRoute {
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

// NeedsKey reports whether requests of a route need an API key.
func (t *Table) NeedsKey(r *savoryloft.PathRoute) bool { return t.requireKeys && !r.Public }

// Authenticate returns the client account of an API key and the priority of its
// requests on a route. The account's own priority, if it has one, takes
// precedence over the route's. It returns false if the route needs a key and
// the given key is not valid.
func (t *Table) Authenticate(r *savoryloft.PathRoute, key string) (Identity, bool) {
	id := Identity{Rank: r.Rank, Urgency: t.urgencies[rankPair{r.Rank, r.Rank}]}
	if !t.NeedsKey(r) {
		return id, true
	}
	a, ok := t.accounts[key]
	if !ok || key == "" {
		return id, false
	}
	id.Account, id.Regions = a.Name, a.Regions
	id.Rank = firstRank(r, a)
	id.Urgency = t.urgencies[rankPair{id.Rank, r.Rank}]
	return id, true
}

// Tier divides the urgencies of the configuration into so many tiers and returns that of an
// identity; 0 is the most urgent.
func (t *Table) Tier(id Identity, tiers int) int {
	return id.Urgency * tiers / max(len(t.urgencies), tiers)
}

// SelectService selects a service of a route in proportion to the weights of its
// shares. The choice depends on a hash of the request ID, so repeated calls for
// one request return the same service.
func (t *Table) SelectService(r *savoryloft.PathRoute, requestID string) string {
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
	point := int(uint64(h.Sum32()) % uint64(total))
	for _, s := range r.Shares {
		if point -= max(s.Weight, 0); point < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// LookupService returns the configuration of a service, or nil if there is none.
func (t *Table) LookupService(service string) *savoryloft.UpstreamService { return t.services[service] }

// Services returns the names of all services, sorted.
func (t *Table) Services() []string {
	names := make([]string, 0, len(t.services))
	for n := range t.services {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
