package server

import (
	"context"
	"sync/atomic"
	"time"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/admitter"
	"savoryloft.example/savoryloft/follower"
)

// membership holds the platform's list as last read.
type membership struct {
	seeds   []string
	list    atomic.Pointer[[]savoryloft.ListedInstance]
	changed chan struct{} // Signals a new configuration or list.
}

func (m *membership) init(seeds []string) {
	m.seeds = seeds
	m.changed = make(chan struct{}, 1)
	m.list.Store(&[]savoryloft.ListedInstance{})
}

// Listed returns the list as last read.
func (m *membership) Listed() []savoryloft.ListedInstance { return *m.list.Load() }

func (m *membership) signal() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// observe is a follower.Observer that applies changes of the configuration.
func (s *Server) observe(_ int, r *savoryloft.Record, _ *follower.View) {
	if r == nil || r.Note != nil {
		s.members.signal()
	}
}

// followMembers reads the platform's list at each interval and applies it with
// the configuration. While the list can not be read, the last one counts.
func (s *Server) followMembers(ctx context.Context) error {
	t := time.NewTicker(s.Settings.Platform.ListInterval.Std())
	defer t.Stop()
	s.gossiper.SetPeers(ctx, s.members.seeds)
	for {
		list, err := s.client.Instances(ctx)
		if err == nil {
			s.members.list.Store(&list)
		} else {
			s.Logger.V(1).Info("list of instances not read", "step", savoryloft.StepFollow, "error", err.Error())
		}
		s.applyMembers(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-s.members.changed:
			s.applyMembers(ctx)
		}
	}
}

func (s *Server) applyMembers(ctx context.Context) {
	peers := append([]string(nil), s.members.seeds...)
	for _, i := range s.members.Listed() {
		if i.Kind == savoryloft.ListedInstanceKindEntry && i.Name != s.Settings.Instance {
			peers = append(peers, i.Address)
		}
	}
	s.gossiper.SetPeers(ctx, peers)
	if c := s.follower.Config(); c != nil {
		s.admitter.Update(c.Pools, floorsOf(c), targetsOf(c, s.members.Listed()))
	}
}

// targetsOf joins the upstreams of the configuration with those on the list.
func targetsOf(c *follower.Config, list []savoryloft.ListedInstance) []admitter.UpstreamConfig {
	var targets []admitter.UpstreamConfig
	for _, u := range c.Upstreams {
		targets = append(targets, admitter.UpstreamConfig{
			Name: u.Name, Pool: u.Pool, Address: u.Address, FailureDomain: u.FailureDomain,
			Slots: c.Pools[u.Pool].Slots,
		})
	}
	for _, i := range list {
		pool, ok := c.Pools[i.Pool]
		if i.Kind != savoryloft.ListedInstanceKindUpstream || !ok {
			continue
		}
		if _, fixed := c.Upstreams[i.Name]; fixed {
			continue
		}
		targets = append(targets, admitter.UpstreamConfig{
			Name: i.Name, Pool: i.Pool, Address: i.Address, FailureDomain: i.FailureDomain,
			Reclaimable: i.Reclaimable, Draining: i.State == savoryloft.ListedInstanceStateLeaving,
			Slots: pool.Slots,
		})
	}
	return targets
}

// floorsOf adds up, for each pool and tier, the floors of the classes that
// routes send there.
func floorsOf(c *follower.Config) map[string][admitter.Tiers]int {
	type use struct{ pool, class string }
	seen := map[use]bool{}
	floors := map[string][admitter.Tiers]int{}
	for _, r := range c.Routes() {
		u := use{r.Route.Pool, r.Route.Class}
		if seen[u] {
			continue
		}
		seen[u] = true
		f := floors[u.pool]
		f[r.Class.Tier] += r.Class.FloorPercent
		floors[u.pool] = f
	}
	return floors
}

// gone tells whether an incarnation of an instance has surely ended: a later
// one was heard, or neither the list nor any link knows the instance.
func (s *Server) gone(instance string, incarnation int) bool {
	if s.gossiper.HasLaterIncarnation(instance, incarnation) {
		return true
	}
	for _, m := range s.gossiper.Members() {
		if m.Instance == instance && m.HeardAgo.Std() < s.Settings.Peers.SilenceLimit.Std() {
			return false
		}
	}
	for _, i := range s.members.Listed() {
		if i.Name == instance {
			return false
		}
	}
	return true
}
