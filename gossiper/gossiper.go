// Package gossiper keeps links between entry instances. On each link it sends
// digests (demand, limits, offset of the control stream) and passes control
// records on to an instance that is behind. It also tells which members are
// alive and whether an outage of the log concerns all of them.
//
// # Usage
//
//	g := &gossiper.Gossiper{Instance: "entry-1", Admitter: a, Follower: f,
//		Interval: 200 * time.Millisecond, Silence: time.Second}
//	go g.Serve(ctx, listener)
//	go g.Run(ctx)
//	g.SetPeers([]string{"10.0.0.2:7100"})
//
// A frame is a length of four bytes, high byte first, and a msgpack-encoded
// savoryloft.Frame with structs as arrays. The first frame in each direction is
// a Hello. The dialler sends digests and fetches; the other side answers each
// with a Tail, so that both sides notice a link that has gone silent.
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
	protocolVersion = 1
	leastRedial     = 100 * time.Millisecond
	mostRedial      = 2 * time.Second
	refusedMemory   = 5 * time.Second // A refused dial counts for this long as "not running".
	forgetAfter     = 2               // Multiple of the silence limit after which a member's demand is dropped.
	fullEvery       = 50              // Each so many digests, all limits are sent again.
)

// Gossiper links this instance to the others. Set the exported fields before
// Serve and Run.
type Gossiper struct {
	Instance      string
	Incarnation   int
	FailureDomain string
	Address       string // Address on which this instance listens for links.
	Interval      time.Duration
	Silence       time.Duration
	StaleLimit    time.Duration
	Dial          func(ctx context.Context, address string) (net.Conn, error)
	Admitter      *admitter.Admitter
	Follower      *follower.Follower
	Logger        logr.Logger
	// Adopt takes over usage deltas that a leaving peer could not append.
	Adopt func(deltas []string)

	leaving  atomic.Bool
	sequence atomic.Int64
	start    time.Time
	totalAt  atomic.Int64 // Last time that an outage was total, in nanoseconds since start.
	sent     atomic.Int64 // Bytes sent on links.
	received atomic.Int64 // Bytes received on links.

	mu      sync.Mutex
	members map[string]*member
	peers   map[string]*link // By address.
	group   sync.WaitGroup
	once    sync.Once
}

// member is what digests have told of another instance.
type member struct {
	hello  savoryloft.Hello
	digest savoryloft.Digest
	loads  map[string]savoryloft.UpstreamLoad
	heard  time.Time
}

// confirmedAgo returns the age of the member's news unless it has had later
// ones since its last digest.
func (m *member) confirmedAgo() time.Duration {
	return m.digest.ConfirmedAgo.Std() + time.Since(m.heard)
}

// link is the outgoing link to one address.
type link struct {
	cancel  context.CancelFunc
	refused time.Time // Last time that nothing listened at the address.
	name    string    // Instance that answered last.
	limits  map[string]int
}

// Status describes one member to operators.
type Status struct {
	Instance      string
	FailureDomain string
	Incarnation   int
	Offset        int
	Leaving       bool
	HeardAgo      savoryloft.Duration
}

func (g *Gossiper) init() {
	g.once.Do(func() {
		g.members = map[string]*member{}
		g.peers = map[string]*link{}
		g.start = time.Now()
		g.totalAt.Store(int64(-24 * time.Hour))
	})
}

// Bytes returns the bytes sent and received on links so far.
func (g *Gossiper) Bytes() (sent, received int64) { return g.sent.Load(), g.received.Load() }

// Leave tells the peers that this instance is leaving.
func (g *Gossiper) Leave() { g.leaving.Store(true) }

// SetPeers sets the addresses to keep links to. This instance's own address is
// left out.
func (g *Gossiper) SetPeers(ctx context.Context, addresses []string) {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	wanted := map[string]bool{}
	for _, a := range addresses {
		if a == g.Address || a == "" {
			continue
		}
		wanted[a] = true
		if g.peers[a] == nil {
			linkCtx, cancel := context.WithCancel(ctx)
			l := &link{cancel: cancel, limits: map[string]int{}}
			g.peers[a] = l
			g.group.Go(func() { g.keepLink(linkCtx, a, l) })
		}
	}
	for a, l := range g.peers {
		if !wanted[a] {
			l.cancel()
			delete(g.peers, a)
		}
	}
}

// Run shares the pools among the members at each interval until ctx ends.
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
			g.Admitter.UpdateShares(g.membersForShare())
			if g.OutageIsTotal() {
				g.totalAt.Store(int64(time.Since(g.start)))
			}
		}
	}
}

// Members returns the other instances heard from lately.
func (g *Gossiper) Members() []Status {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []Status
	for _, m := range g.members {
		list = append(list, Status{
			Instance: m.hello.Instance, FailureDomain: m.hello.FailureDomain, Incarnation: m.hello.Incarnation,
			Offset: m.digest.Offset, Leaving: m.digest.Leaving, HeardAgo: savoryloft.Duration(time.Since(m.heard)),
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

// HighestOffset returns the highest control offset that a peer has told of.
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

// Demand returns the whole fleet's demand on a pool, this instance included.
func (g *Gossiper) Demand(pool string) int {
	n := 0
	for _, m := range g.membersForShare() {
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

// Replaced tells whether a later incarnation of an instance has been heard.
func (g *Gossiper) Replaced(instance string, incarnation int) bool {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[instance]
	return ok && m.hello.Incarnation > incarnation
}

// OutageIsTotal tells whether every known peer is either linked and itself
// without news of the control stream, or certainly not running. Then no
// instance can have learnt of a later note, and admission may go on.
func (g *Gossiper) OutageIsTotal() bool {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	linked := 0
	for _, l := range g.peers {
		if time.Since(l.refused) < refusedMemory {
			continue
		}
		m, ok := g.members[l.name]
		if !ok || time.Since(m.heard) > g.Silence || m.confirmedAgo() <= g.StaleLimit {
			return false
		}
		linked++
	}
	return linked > 0
}

// SinceTotalOutage returns the time since an outage of the log last was known
// to concern all instances, so that none can have had later news.
func (g *Gossiper) SinceTotalOutage() time.Duration {
	g.init()
	return time.Since(g.start) - time.Duration(g.totalAt.Load())
}

func (g *Gossiper) membersForShare() []admitter.Member {
	self := admitter.Member{Name: g.Instance, Demands: byPool(g.Admitter.Demands())}
	list := []admitter.Member{self}
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, m := range g.members {
		if time.Since(m.heard) > forgetAfter*g.Silence {
			continue
		}
		if m.digest.Leaving && len(m.digest.Demands) == 0 {
			continue
		}
		list = append(list, admitter.Member{Name: name, Demands: byPool(m.digest.Demands), Loads: m.loads})
	}
	return list
}

func byPool(demands []savoryloft.PoolDemand) map[string]savoryloft.PoolDemand {
	m := make(map[string]savoryloft.PoolDemand, len(demands))
	for _, d := range demands {
		m[d.Pool] = d
	}
	return m
}

// heardFrom stores a digest. One of an older incarnation, or an older one of
// the same, changes nothing.
func (g *Gossiper) heardFrom(h savoryloft.Hello, d savoryloft.Digest) {
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
	m.hello, m.digest, m.heard = h, d, time.Now()
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

// digest builds the next digest for a link. Limits are sent when they have
// changed since the link's last digest.
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
	full := d.Sequence%fullEvery == 0
	for _, u := range g.Admitter.Loads() {
		if full || l.limits[u.Upstream] != u.Limit {
			l.limits[u.Upstream] = u.Limit
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

// hello returns this instance's first frame.
func (g *Gossiper) hello() *savoryloft.Hello {
	return &savoryloft.Hello{
		Version: protocolVersion, Instance: g.Instance, Incarnation: g.Incarnation,
		FailureDomain: g.FailureDomain, Address: g.Address,
	}
}

func checkHello(f savoryloft.Frame) (savoryloft.Hello, error) {
	if f.Hello == nil {
		return savoryloft.Hello{}, errors.New("first frame is not a Hello")
	}
	if f.Hello.Version != protocolVersion {
		return savoryloft.Hello{}, errors.Errorf("peer speaks version %d, this instance version %d", f.Hello.Version, protocolVersion)
	}
	if f.Hello.Instance == "" {
		return savoryloft.Hello{}, errors.New("Hello names no instance")
	}
	return *f.Hello, nil
}
