// Package gossiper maintains persistent connections, called links, between entry
// instances. Each instance sends digests on its links, which contain its demand on
// pools, its load on upstreams and its offset in the control stream. An instance
// fetches the control records that it lacks from a peer with a higher offset. The
// package also reports the state of the other instances and whether an outage of
// the log affects all of them.
//
// # Usage
//
//	g := &gossiper.Gossiper{Instance: "entry-1", Admitter: a, Follower: f,
//		Interval: 200 * time.Millisecond, LinkTimeout: time.Second}
//	go g.Serve(ctx, listener)
//	go g.Run(ctx)
//	g.SetPeers(ctx, []string{"10.0.0.2:7100"})
//
// # Protocol
//
// A frame is a MessagePack-encoded savoryloft.Frame as package framer encodes it.
// The first frame in each direction is a Hello. After it, the dialing side sends
// Digest, Fetch and Handover frames, and the accepting side replies to each with a
// Tail, which is empty except in reply to a Fetch. Both sides therefore receive
// frames regularly and detect a broken link by a read timeout.
package gossiper

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/admitter"
	"savoryloft.example/savoryloft/follower"
)

const (
	protocolVersion     = 1
	minRedialBackoff    = 100 * time.Millisecond
	maxRedialBackoff    = 2 * time.Second
	refusalTimeout      = 5 * time.Second // A peer that refused a connection counts as not running for this long.
	demandTimeoutFactor = 2               // Multiple of LinkTimeout after which a member's demand is ignored.
	fullLoadsPeriod     = 50              // A digest whose sequence number is a multiple of it contains all loads.
)

// Gossiper maintains the links of this instance. Set the exported fields before
// calling Serve and Run.
type Gossiper struct {
	Instance      string
	Incarnation   int
	FailureDomain string
	Address       string        // At which peers dial this instance.
	Interval      time.Duration // Between digests on a link.
	LinkTimeout   time.Duration // Of dials, reads and writes; a peer without a digest for this long is not considered linked.
	StaleLimit    time.Duration // Age above which a confirmation that the control stream was read to its end counts as out of date.
	Dial          func(ctx context.Context, address string) (net.Conn, error)
	Admitter      *admitter.Admitter
	Follower      *follower.Follower
	Logger        logr.Logger
	// ReceiveUsage is called with the usage deltas that a leaving peer could not append
	// to the log, each a savoryloft.UsageDelta record in JSON.
	ReceiveUsage func(deltas []string)

	leaving       atomic.Bool
	sequence      atomic.Int64
	startedAt     time.Time
	totalOutageAt atomic.Int64 // Last time that OutageIsTotal returned true in Run, in nanoseconds since startedAt.
	sent          atomic.Int64 // Bytes sent on links.
	received      atomic.Int64 // Bytes received on links.

	mu      sync.Mutex
	members map[string]*member // By instance.
	links   map[string]*link   // By address.
	group   sync.WaitGroup
	once    sync.Once
}

// member is the state of another instance from its last Hello and its digests.
type member struct {
	hello      savoryloft.Hello
	digest     savoryloft.Digest
	loads      map[string]savoryloft.UpstreamLoad // By upstream, merged from all digests of the incarnation.
	receivedAt time.Time                          // When digest was received.
}

// confirmationAge returns the time since the member last confirmed that it had read
// the control stream to its end, as far as its last digest shows. The actual time is
// shorter if the member has confirmed it again since that digest.
func (m *member) confirmationAge() time.Duration {
	return m.digest.ConfirmedAgo.Std() + time.Since(m.receivedAt)
}

// link is the outgoing link to one address.
type link struct {
	cancel     context.CancelFunc
	refusedAt  time.Time      // When the address last refused a connection; zero after a successful handshake.
	instance   string         // Instance in the last Hello received.
	sentLimits map[string]int // Last limit sent on the connection, by upstream.
}

// Status is the state of another instance, as shown to operators.
type Status struct {
	Instance      string
	FailureDomain string
	Incarnation   int
	Offset        int                 // Offset of the last control record that it has applied.
	Leaving       bool                // Its planned stop has begun.
	HeardAgo      savoryloft.Duration // Time since its last digest was received.
}

func (g *Gossiper) init() {
	g.once.Do(func() {
		g.members = map[string]*member{}
		g.links = map[string]*link{}
		g.startedAt = time.Now()
		g.totalOutageAt.Store(int64(-24 * time.Hour))
	})
}

// Bytes returns the number of bytes sent and received on all links.
func (g *Gossiper) Bytes() (sent, received int64) { return g.sent.Load(), g.received.Load() }

// Leave marks this instance as leaving in all further digests.
func (g *Gossiper) Leave() { g.leaving.Store(true) }

// SetPeers sets the addresses to maintain links to. It opens links to new addresses,
// which last until ctx ends, and closes links to addresses that are no longer listed.
// It ignores this instance's own address and empty addresses.
func (g *Gossiper) SetPeers(ctx context.Context, addresses []string) {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	listed := map[string]bool{}
	for _, a := range addresses {
		if a == g.Address || a == "" {
			continue
		}
		listed[a] = true
		if g.links[a] == nil {
			linkCtx, cancel := context.WithCancel(ctx)
			l := &link{cancel: cancel, sentLimits: map[string]int{}}
			g.links[a] = l
			g.group.Go(func() { g.maintainLink(linkCtx, a, l) })
		}
	}
	for a, l := range g.links {
		if !listed[a] {
			l.cancel()
			delete(g.links, a)
		}
	}
}

// Run updates the admitter's shares from the members' demand at each interval until
// ctx ends, then waits for all links to close. It always returns nil.
func (g *Gossiper) Run(ctx context.Context) error {
	g.init()
	t := time.NewTicker(g.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			g.group.Wait()
			return nil
		case <-t.C:
			g.Admitter.UpdateShares(g.activeMembers())
			if g.OutageIsTotal() {
				g.totalOutageAt.Store(int64(time.Since(g.startedAt)))
			}
		}
	}
}

// Members returns all other instances from which this instance has received a
// digest, sorted by name. HeardAgo shows whether an instance is still linked.
func (g *Gossiper) Members() []Status {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []Status
	for _, m := range g.members {
		list = append(list, Status{
			Instance: m.hello.Instance, FailureDomain: m.hello.FailureDomain, Incarnation: m.hello.Incarnation,
			Offset: m.digest.Offset, Leaving: m.digest.Leaving, HeardAgo: savoryloft.Duration(time.Since(m.receivedAt)),
		})
	}
	slices.SortFunc(list, func(a, b Status) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return list
}

// HighestOffset returns the highest control stream offset in the digests received,
// or -1 if there is none.
func (g *Gossiper) HighestOffset() int {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	highest := -1
	for _, m := range g.members {
		highest = max(highest, m.digest.Offset)
	}
	return highest
}

// Demand returns the number of requests for a pool that wait or run at all
// instances, including this one.
func (g *Gossiper) Demand(pool string) int {
	n := 0
	for _, m := range g.activeMembers() {
		d := m.Demands[pool]
		for t := range d.Waiting {
			n += d.Waiting[t]
		}
		for t := range d.Running {
			n += d.Running[t]
		}
	}
	return n
}

// HasLaterIncarnation reports whether a digest of a later incarnation of an instance
// has been received.
func (g *Gossiper) HasLaterIncarnation(instance string, incarnation int) bool {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[instance]
	return ok && m.hello.Incarnation > incarnation
}

// OutageIsTotal reports whether the outage of the log affects all instances. That is
// the case if at least one peer is linked and every peer either is linked and has not
// read the control stream to its end within StaleLimit, or has recently refused a
// connection and is therefore not running. Then no instance can have read a newer
// note, and admission may continue.
func (g *Gossiper) OutageIsTotal() bool {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	linked := 0
	for _, l := range g.links {
		if time.Since(l.refusedAt) < refusalTimeout {
			continue
		}
		m, ok := g.members[l.instance]
		if !ok || time.Since(m.receivedAt) > g.LinkTimeout || m.confirmationAge() <= g.StaleLimit {
			return false
		}
		linked++
	}
	return linked > 0
}

// SinceTotalOutage returns the time since Run last found that an outage of the log
// affected all instances, so that none had newer control records. It exceeds 24
// hours if there was no such outage since the start.
func (g *Gossiper) SinceTotalOutage() time.Duration {
	g.init()
	return time.Since(g.startedAt) - time.Duration(g.totalOutageAt.Load())
}

// activeMembers returns this instance and the members with a recent digest, except
// those that are leaving and have no demand left.
func (g *Gossiper) activeMembers() []admitter.Member {
	self := admitter.Member{Name: g.Instance, Demands: demandsByPool(g.Admitter.Demands())}
	list := []admitter.Member{self}
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, m := range g.members {
		if time.Since(m.receivedAt) > demandTimeoutFactor*g.LinkTimeout {
			continue
		}
		if m.digest.Leaving && len(m.digest.Demands) == 0 {
			continue
		}
		list = append(list, admitter.Member{Name: name, Demands: demandsByPool(m.digest.Demands), Loads: m.loads})
	}
	return list
}

func demandsByPool(demands []savoryloft.PoolDemand) map[string]savoryloft.PoolDemand {
	m := make(map[string]savoryloft.PoolDemand, len(demands))
	for _, d := range demands {
		m[d.Pool] = d
	}
	return m
}

// mergeDigest stores a digest received from a peer and confirms the peer's offset to
// the follower. It ignores digests of an earlier incarnation and those with a lower
// sequence number than the last one.
func (g *Gossiper) mergeDigest(h savoryloft.Hello, d savoryloft.Digest) {
	g.mu.Lock()
	m, ok := g.members[h.Instance]
	if !ok || m.hello.Incarnation < h.Incarnation {
		m = &member{loads: map[string]savoryloft.UpstreamLoad{}}
		g.members[h.Instance] = m
	}
	if m.hello.Incarnation > h.Incarnation || m.hello.Incarnation == h.Incarnation && d.Sequence < m.digest.Sequence {
		g.mu.Unlock()
		return
	}
	m.hello, m.digest, m.receivedAt = h, d, time.Now()
	loads := make(map[string]savoryloft.UpstreamLoad, len(m.loads)+len(d.Loads))
	for name, l := range m.loads {
		loads[name] = l
	}
	for _, l := range d.Loads {
		loads[l.Upstream] = l
	}
	m.loads = loads
	g.mu.Unlock()
	g.Follower.Confirm(d.Offset, d.ConfirmedAgo.Std())
}

// digest returns the next digest for a link. It contains the pools with expected
// demand, and the loads of the upstreams whose limit has changed since it was last
// sent on the connection.
func (g *Gossiper) digest(l *link) savoryloft.Digest {
	d := savoryloft.Digest{
		Sequence:     int(g.sequence.Add(1)),
		Offset:       g.Follower.Offset(),
		ConfirmedAgo: savoryloft.Duration(g.Follower.SinceConfirmed().Truncate(time.Millisecond)),
		Leaving:      g.leaving.Load(),
	}
	for _, p := range g.Admitter.Demands() {
		if sum(p.Expected) > 0 {
			d.Demands = append(d.Demands, p)
		}
	}
	allLoads := d.Sequence%fullLoadsPeriod == 0
	for _, u := range g.Admitter.Loads() {
		if allLoads || l.sentLimits[u.Upstream] != u.Limit {
			l.sentLimits[u.Upstream] = u.Limit
			d.Loads = append(d.Loads, u)
		}
	}
	return d
}

func sum(list []int) int {
	n := 0
	for _, v := range list {
		n += v
	}
	return n
}

// hello returns the first frame that this instance sends on a connection.
func (g *Gossiper) hello() *savoryloft.Hello {
	return &savoryloft.Hello{
		Version: protocolVersion, Instance: g.Instance, Incarnation: g.Incarnation,
		FailureDomain: g.FailureDomain, Address: g.Address,
	}
}

// checkHello returns the Hello in the first frame of a connection. It returns an error
// if the frame is no Hello, has another protocol version or no instance name.
func checkHello(f savoryloft.Frame) (savoryloft.Hello, error) {
	if f.Hello == nil {
		return savoryloft.Hello{}, errors.New("first frame is not a Hello")
	}
	if f.Hello.Version != protocolVersion {
		return savoryloft.Hello{}, errors.Errorf("peer uses protocol version %d, this instance uses %d", f.Hello.Version, protocolVersion)
	}
	if f.Hello.Instance == "" {
		return savoryloft.Hello{}, errors.New("Hello has no instance name")
	}
	return *f.Hello, nil
}
