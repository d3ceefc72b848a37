package follower

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/folder"
)

// Config is the current configuration, indexed for lookups by requests. It is
// immutable, since requests read it concurrently through an atomic pointer.
type Config struct {
	Offset    int // Offset of the last applied control record.
	Accounts  map[string]savoryloft.ClientAccount
	Classes   map[string]savoryloft.Class
	Pools     map[string]savoryloft.Pool
	Upstreams map[string]savoryloft.Upstream

	keys   map[string]*Key
	routes map[RouteMatch]*Route
	models []string
}

// Key is a valid API key. Its context is cancelled with the cause
// savoryloft.ErrKeyWithdrawn when the key is withdrawn.
type Key struct {
	savoryloft.Key
	Context context.Context

	cancel context.CancelCauseFunc
}

// Route is a route with its class and its pool.
type Route struct {
	savoryloft.Route
	Class savoryloft.Class
	Pool  savoryloft.Pool
}

// RouteMatch contains the properties of a request that select its route.
type RouteMatch struct {
	Method string
	Path   string
	Model  string
}

// HashKey returns the hash that release notes contain in place of an API key:
// its SHA-256 in hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Key returns the valid key that has the given hash.
func (c *Config) Key(hash string) (*Key, bool) {
	k, ok := c.keys[hash]
	return k, ok
}

// Route returns the route of requests that match m.
func (c *Config) Route(m RouteMatch) (*Route, bool) {
	r, ok := c.routes[m]
	return r, ok
}

// Models returns the sorted names of the models in routes.
func (c *Config) Models() []string { return c.models }

// compileConfig builds the configuration of a state. It reuses the keys of old
// that are still valid, so that their contexts stay in use.
func compileConfig(s *folder.State, old *Config) *Config {
	c := &Config{
		Offset:    s.Offset,
		Accounts:  s.Accounts,
		Classes:   s.Classes,
		Pools:     s.Pools,
		Upstreams: s.Upstreams,
		keys:      make(map[string]*Key, len(s.Keys)),
		routes:    make(map[RouteMatch]*Route, len(s.Routes)),
	}
	for _, k := range s.Keys {
		c.keys[k.Hash] = reuseKey(old, k)
	}
	for _, r := range s.Routes {
		m := RouteMatch{Method: string(r.Method), Path: r.Path, Model: r.Model}
		c.routes[m] = &Route{Route: r, Class: s.Classes[r.Class], Pool: s.Pools[r.Pool]}
	}
	c.models = routedModels(s)
	return c
}

// reuseKey returns the key of old with the same hash and client account, or else
// a key with a new context.
func reuseKey(old *Config, k savoryloft.Key) *Key {
	if old != nil {
		if o, ok := old.keys[k.Hash]; ok && o.ClientAccount == k.ClientAccount {
			return o
		}
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	return &Key{Key: k, Context: ctx, cancel: cancel}
}

// cancelWithdrawnKeys cancels the contexts of the keys of old that next does not
// contain.
func cancelWithdrawnKeys(old, next *Config) {
	if old == nil {
		return
	}
	for hash, k := range old.keys {
		if next.keys[hash] != k {
			k.cancel(savoryloft.ErrKeyWithdrawn)
		}
	}
}

// Routes returns all routes in random order.
func (c *Config) Routes() []*Route {
	list := make([]*Route, 0, len(c.routes))
	for _, r := range c.routes {
		list = append(list, r)
	}
	return list
}
