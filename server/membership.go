package server

import (
	"context"
	"sync/atomic"
	"time"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/admitter"
	"savoryloft.example/savoryloft/follower"
)

// membership holds the seed addresses of peers and the platform's instance list
// as last read.
type membership struct {
	seeds   []string
	list    atomic.Pointer[[]savoryloft.ListedInstance]
	changed chan struct{} // Signals a new configuration; capacity 1.
}

func (m *membership) init(seeds []string) {
	m.seeds = seeds
	m.changed = make(chan struct{}, 1)
	m.list.Store(&[]savoryloft.ListedInstance{})
}

// Listed returns the instance list as last read, which is empty at first.
func (m *membership) Listed() []savoryloft.ListedInstance { return *m.list.Load() }

func (m *membership) signalChange() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// observeConfigChange is a follower.Observer. A release note or a state loaded
// from a snapshot or a peer, which comes without a record, changes the
// configuration.
func (s *Server) observeConfigChange(_ int, r *savoryloft.Record, _ *follower.View) {
	if r == nil || r.Note != nil {
		s.members.signalChange()
	}
}

// pollInstances reads the platform's instance list at each ListInterval and
// after each change of the configuration, and applies both. When reading fails,
// it applies the list read last.
func (s *Server) pollInstances(ctx context.Context) error {
	t := time.NewTicker(s.Settings.Platform.ListInterval.Std())
	defer t.Stop()
	s.gossiper.SetPeers(ctx, s.members.seeds)
	for {
		list, err := s.client.Instances(ctx)
		if err == nil {
			s.members.list.Store(&list)
		} else {
			s.Logger.V(1).Info("reading the instance list failed; using the last one",
				"step", savoryloft.StepFollow, "error", err.Error())
		}
		s.applyInstances(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-s.members.changed:
			s.applyInstances(ctx)
		}
	}
}

func (s *Server) applyInstances(ctx context.Context) {
	peers := append([]string(nil), s.members.seeds...)
	for _, i := range s.members.Listed() {
		if i.Kind == savoryloft.ListedInstanceKindEntry && i.Name != s.Settings.Instance {
			peers = append(peers, i.Address)
		}
	}
	s.gossiper.SetPeers(ctx, peers)
	if c := s.follower.Config(); c != nil {
		s.admitter.Update(c.Pools, tierFloors(c), upstreamConfigs(c, s.members.Listed()))
	}
}

// upstreamConfigs merges the upstreams of the configuration with those of the
// instance list. An upstream in both has the settings of the configuration.
func upstreamConfigs(c *follower.Config, list []savoryloft.ListedInstance) []admitter.UpstreamConfig {
	var configs []admitter.UpstreamConfig
	for _, u := range c.Upstreams {
		configs = append(configs, admitter.UpstreamConfig{
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
		configs = append(configs, admitter.UpstreamConfig{
			Name: i.Name, Pool: i.Pool, Address: i.Address, FailureDomain: i.FailureDomain,
			Reclaimable: i.Reclaimable, Draining: i.State == savoryloft.ListedInstanceStateLeaving,
			Slots: pool.Slots,
		})
	}
	return configs
}

// tierFloors returns for each pool the percentage of its capacity that higher
// tiers leave to each tier: the sum of FloorPercent over the classes of the tier
// whose routes use the pool.
func tierFloors(c *follower.Config) map[string][admitter.Tiers]int {
	type poolClass struct{ pool, class string }
	seen := map[poolClass]bool{}
	floors := map[string][admitter.Tiers]int{}
	for _, r := range c.Routes() {
		key := poolClass{r.Route.Pool, r.Route.Class}
		if seen[key] {
			continue
		}
		seen[key] = true
		percents := floors[key.pool]
		percents[r.Class.Tier] += r.Class.FloorPercent
		floors[key.pool] = percents
	}
	return floors
}

// hasEnded reports whether an incarnation of an instance has certainly ended: a
// later incarnation has been seen, or the instance is not in the instance list
// and no peer link has received a digest from it within SilenceLimit.
func (s *Server) hasEnded(instance string, incarnation int) bool {
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
