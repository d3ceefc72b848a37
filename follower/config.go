package follower

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/folder"
)

// Config is the configuration in force: immutable, and indexed for the request
// path, which reads it through an atomic pointer.
type Config struct {
	Offset    int // Offset of the last control record applied.
	Accounts  map[string]savoryloft.ClientAccount
	Classes   map[string]savoryloft.Class
	Pools     map[string]savoryloft.Pool
	Upstreams map[string]savoryloft.Upstream

	keys   map[string]*Key
	routes map[RouteMatch]*Route
	models []string
}

// Key is a key that is in force. Its context ends, with the cause
// savoryloft.ErrKeyWithdrawn, as soon as the key is withdrawn.
type Key struct {
	savoryloft.Key
	Context context.Context

	cancel context.CancelCauseFunc
}

// Route is a route with what it refers to.
type Route struct {
	savoryloft.Route
	Class savoryloft.Class
	Pool  savoryloft.Pool
}

// RouteMatch is what a request is matched by.
type RouteMatch struct {
	Method string
	Path   string
	Model  string
}

// HashKey returns the hash under which notes carry a caller's key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Key returns the key in force with a hash.
func (c *Config) Key(hash string) (*Key, bool) {
	k, ok := c.keys[hash]
	return k, ok
}

// Route returns the route for a request.
func (c *Config) Route(m RouteMatch) (*Route, bool) {
	r, ok := c.routes[m]
	return r, ok
}

// Models returns the model names that routes serve, sorted.
func (c *Config) Models() []string { return c.models }

// compile builds the configuration of a state. Keys that stay in force keep
// their context; the contexts of the others are cancelled.
func compile(s *folder.State, old *Config) *Config {
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
		c.keys[k.Hash] = keepKey(old, k)
	}
	for _, r := range s.Routes {
		m := RouteMatch{Method: string(r.Method), Path: r.Path, Model: r.Model}
		c.routes[m] = &Route{Route: r, Class: s.Classes[r.Class], Pool: s.Pools[r.Pool]}
	}
	c.models = modelsOf(s)
	return c
}

func keepKey(old *Config, k savoryloft.Key) *Key {
	if old != nil {
		if o, ok := old.keys[k.Hash]; ok && o.ClientAccount == k.ClientAccount {
			return o
		}
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	return &Key{Key: k, Context: ctx, cancel: cancel}
}

// withdrawMissing ends the keys of old that next no longer has.
func withdrawMissing(old, next *Config) {
	if old == nil {
		return
	}
	for hash, k := range old.keys {
		if next.keys[hash] != k {
			k.cancel(savoryloft.ErrKeyWithdrawn)
		}
	}
}

// Routes returns all routes, in no order.
func (c *Config) Routes() []*Route {
	list := make([]*Route, 0, len(c.routes))
	for _, r := range c.routes {
		list = append(list, r)
	}
	return list
}
