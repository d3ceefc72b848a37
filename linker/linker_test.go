package linker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/framer"
)

const testTimeout = 10 * time.Second // The awaited states normally take one or two seconds.

// fakeSource is the Source of one test instance.
type fakeSource struct {
	mu           sync.Mutex
	version      int
	loads        []savoryloft.LinkLoad
	parts        []savoryloft.HeldPart
	statuses     int
	recordFrames int                                                   // Frames with records.
	relay        func(records []savoryloft.ControlRecord, from string) // Called with newly applied records; may be nil.
	maxStatusAge time.Duration                                         // Largest time from asOf to the receipt of a status.
}

func (p *fakeSource) FillStatus(s *savoryloft.LinkStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Version, s.VersionAge, s.RegistryOffset, s.RegistryRead, s.RegistryAge, s.LeaderAge = p.version, 0, -1, -1, -1, -1
	s.Wall = int(time.Now().UnixMilli())
}

func (p *fakeSource) Loads() []savoryloft.LinkLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]savoryloft.LinkLoad(nil), p.loads...)
}

func (p *fakeSource) UsageSince(int, savoryloft.UsageScope) ([]savoryloft.UsageBatch, int) {
	return nil, 0
}

func (p *fakeSource) RecordsSince(version, _ int) []savoryloft.ControlRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version <= version {
		return nil
	}
	return []savoryloft.ControlRecord{{Key: "config", Position: p.version}}
}

func (p *fakeSource) ApplyRecords(peer string, records []savoryloft.ControlRecord) {
	p.mu.Lock()
	before := p.version
	for _, r := range records {
		p.version = max(p.version, r.Position)
	}
	p.recordFrames++
	changed := p.version > before && p.relay != nil
	p.mu.Unlock()
	if changed {
		p.relay(records, peer)
	}
}

func (p *fakeSource) MergeUsage([]savoryloft.UsageBatch, bool) {}

func (p *fakeSource) RegistryState() savoryloft.RegistryState { return savoryloft.RegistryState{} }

func (p *fakeSource) ApplyStatus(_ string, _ *savoryloft.LinkStatus, _ *savoryloft.RegistryState, asOf time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if asOf > 0 {
		p.statuses++
		p.maxStatusAge = max(p.maxStatusAge, savoryloft.Uptime()-asOf)
	}
}

func (p *fakeSource) MergeParts(parts []savoryloft.HeldPart) []savoryloft.HeldPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	var added []savoryloft.HeldPart
	for _, part := range parts {
		known := false
		for _, old := range p.parts {
			known = known || old == part
		}
		if !known {
			added = append(added, part)
		}
	}
	p.parts = append(p.parts, added...)
	return added
}

func (p *fakeSource) Suspicions() savoryloft.Suspicions { return savoryloft.Suspicions{} }

func (p *fakeSource) MergeSuspicions(string, savoryloft.Suspicions) {}

func (p *fakeSource) Detours() []savoryloft.Detour { return nil }

func (p *fakeSource) MergeDetours([]savoryloft.Detour) {}

func (p *fakeSource) LeavingSince(int) ([]savoryloft.LeavingUpstream, int) { return nil, 0 }

func (p *fakeSource) MergeLeaving([]savoryloft.LeavingUpstream) {}

func (p *fakeSource) Evacuations() []savoryloft.ControlRecord { return nil }

func (p *fakeSource) DutyFacts() savoryloft.DutyFacts { return savoryloft.DutyFacts{} }

func (p *fakeSource) LearnDuties(savoryloft.DutyFacts) {}

func (p *fakeSource) LoadsChanged() {}

func (p *fakeSource) Limits() []savoryloft.UpstreamLimit { return nil }

func (p *fakeSource) Origins() (o savoryloft.StreamOrigins, begun []savoryloft.OriginBatch) {
	return o, begun
}

func (p *fakeSource) MergeBegun([]savoryloft.OriginBatch) {}

func (p *fakeSource) MergeOrigins(string, savoryloft.StreamOrigins) {}

func (p *fakeSource) HandleLimits(string, savoryloft.LimitExchange) {}

// withLock calls f with the lock held.
func (p *fakeSource) withLock(f func(p *fakeSource) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return f(p)
}

type cluster struct {
	linkers []*Linker
	sources []*fakeSource
	cancels []context.CancelFunc
}

// startCluster starts n instances spread over failure domains, all with the first
// instance as their seed.
func startCluster(t *testing.T, n, domains int) *cluster {
	f := &cluster{}
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		p := &fakeSource{}
		l := &Linker{
			Instance: fmt.Sprintf("entry-%02d", i), Incarnation: 1, FailureDomain: fmt.Sprint(i % domains),
			Address: listener.Addr().String(), Interval: 50 * time.Millisecond, Logger: logr.Discard(), Source: p,
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				var d net.Dialer
				return d.DialContext(ctx, "tcp", address)
			},
		}
		if i > 0 {
			l.Seeds = []string{f.linkers[0].Address}
		}
		ctx, cancel := context.WithCancel(context.Background())
		f.linkers, f.sources, f.cancels = append(f.linkers, l), append(f.sources, p), append(f.cancels, cancel)
		go func() { _ = l.Serve(ctx, listener) }()
		go func() { _ = l.Run(ctx) }()
	}
	t.Cleanup(func() {
		for _, cancel := range f.cancels {
			cancel()
		}
	})
	return f
}

// connListener accepts the given connections.
type connListener chan net.Conn

func (l connListener) Accept() (net.Conn, error) {
	if conn, ok := <-l; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (l connListener) Close() error   { return nil }
func (l connListener) Addr() net.Addr { return nil }

// Guards against links that start while Run waits for all links to end, or after that.
func TestNoLinkStartsOnceRunEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Linker{Instance: "entry-1", Logger: logr.Discard(), Source: &fakeSource{}}
		ctx, cancel := context.WithCancel(t.Context())
		listener, ended := make(connListener), make(chan struct{})
		go func() { _ = l.Serve(ctx, listener) }()
		go func() {
			_ = l.Run(ctx)
			close(ended)
		}()
		open, peer := net.Pipe()
		listener <- open // Its link ends with ctx.
		cancel()
		<-ended
		_, err := io.ReadAll(peer)
		require.NoError(t, err)
		late, peer := net.Pipe()
		go func() { listener <- late }()
		sent, err := io.ReadAll(peer)
		require.NoError(t, err)
		close(listener)
		require.Empty(t, sent, "a link has sent its greeting")
	})
}

// eventually waits until ok holds for every instance.
func (f *cluster) eventually(t *testing.T, what string, ok func(i int) bool) {
	require.Eventually(t, func() bool {
		for i := range f.linkers {
			if !ok(i) {
				return false
			}
		}
		return true
	}, testTimeout, 20*time.Millisecond, what)
}

func TestMeshDistributesRecordsAndLoads(t *testing.T) {
	f := startCluster(t, 5, 2)
	f.eventually(t, "every instance has all members", func(i int) bool { return len(f.linkers[i].Members()) == 4 })
	f.sources[3].mu.Lock()
	f.sources[3].version = 7
	f.sources[3].loads = []savoryloft.LinkLoad{{Upstream: "u", Running: 3, Prefill: 500, Tokens: 10 * tokensStep}}
	f.sources[3].mu.Unlock()
	f.eventually(t, "records reach all", func(i int) bool { return f.sources[i].withLock(func(p *fakeSource) bool { return p.version == 7 }) })
	f.eventually(t, "loads reach all others", func(i int) bool { return i == 3 || f.linkers[i].PeerLoads()["u"].Running == 3 })
	f.sources[3].mu.Lock()
	f.sources[3].loads = nil
	f.sources[3].mu.Unlock()
	f.eventually(t, "removed loads disappear", func(i int) bool { return len(f.linkers[i].PeerLoads()) == 0 })
	readers := 0
	for _, l := range f.linkers {
		if l.IsReader() {
			readers++
		}
	}
	require.Equal(t, 2, readers)
}

func TestKilledInstancesAreReplacedAsReaders(t *testing.T) {
	f := startCluster(t, 4, 1)
	f.eventually(t, "all live", func(i int) bool {
		live := 0
		for _, m := range f.linkers[i].Members() {
			if m.Live {
				live++
			}
		}
		return live == 3
	})
	for i, l := range f.linkers {
		if l.ReaderRank() == 0 {
			f.cancels[i]()
			f.linkers = append(f.linkers[:i:i], f.linkers[i+1:]...)
			break
		}
	}
	require.Eventually(t, func() bool {
		first := 0
		for _, l := range f.linkers {
			if l.ReaderRank() == 0 {
				first++
			}
		}
		return first == 1
	}, testTimeout, 20*time.Millisecond)
}

// In a deployment that is too large for a mesh, instances link only to hubs. Each
// instance must count the loads of every other one exactly once, and parts and
// records must reach all instances.
func TestHubs(t *testing.T) {
	const n, domains = 24, 3
	f := startCluster(t, n, domains)
	f.eventually(t, "every instance has all members", func(i int) bool { return len(f.linkers[i].Members()) == n-1 })
	for i, p := range f.sources {
		p.mu.Lock()
		p.loads = []savoryloft.LinkLoad{{Upstream: "u", Running: 1, Tokens: tokensStep * (i + 1)}}
		p.mu.Unlock()
	}
	f.eventually(t, "each instance counts every other one once", func(i int) bool { return f.linkers[i].PeerLoads()["u"].Running == n-1 })
	f.eventually(t, "links from the earlier mesh are closed", func(i int) bool {
		l := f.linkers[i]
		l.mu.Lock()
		links := len(l.links)
		l.mu.Unlock()
		return l.IsHub() || links <= hubsPerDomain
	})
	hubs := 0
	for _, l := range f.linkers {
		if l.IsHub() {
			hubs++
		}
	}
	require.Equal(t, hubsPerDomain*domains, hubs)
	held := savoryloft.HeldPart{Upstream: "u", Part: "p", Tokens: 5}
	f.linkers[7].BroadcastUpdate([]savoryloft.HeldPart{held})
	f.eventually(t, "parts reach all", func(i int) bool {
		return i == 7 || f.sources[i].withLock(func(p *fakeSource) bool { return len(p.parts) > 0 })
	})
	f.sources[11].mu.Lock()
	f.sources[11].version = 9
	f.sources[11].mu.Unlock()
	f.eventually(t, "records reach all", func(i int) bool { return f.sources[i].withLock(func(p *fakeSource) bool { return p.version == 9 }) })
}

// A hub does work for its whole failure domain, so the instances with the highest
// CPU limits become hubs.
func TestHubsHaveTheHighestCPULimits(t *testing.T) {
	l := &Linker{Instance: "m", FailureDomain: "d0", CPUMillicores: 200, Logger: logr.Discard(), Source: &fakeSource{}}
	l.init()
	highest := map[string]bool{"b3": true, "b11": true}
	var greetings []savoryloft.LinkGreeting
	for i := range 20 {
		g := savoryloft.LinkGreeting{Instance: fmt.Sprint("b", i), Incarnation: 1, FailureDomain: "d0", Address: "127.0.0.1:9", Power: 200}
		if highest[g.Instance] {
			g.Power = 800
		}
		greetings = append(greetings, g)
	}
	l.AddMembers(greetings)
	l.mu.Lock()
	defer l.mu.Unlock()
	require.Equal(t, highest, l.currentTopology(savoryloft.Uptime()).hubs)
}

// Records can be as large as a configuration. With hubs, each instance must
// receive a record only from its own hubs and not from every peer that has it.
func TestHubsDoNotRepeatRecords(t *testing.T) {
	const n, domains = 24, 3
	f := startCluster(t, n, domains)
	f.eventually(t, "each instance has exactly the links that it needs", func(i int) bool {
		l := f.linkers[i]
		if len(l.Members()) < n-1 {
			return false
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.topology.hub {
			return len(l.links) == hubsPerDomain*(domains-1)+n/domains-1
		}
		return len(l.links) == hubsPerDomain
	})
	reader := -1
	for i, l := range f.linkers {
		f.sources[i].mu.Lock()
		f.sources[i].relay = l.BroadcastRecords
		f.sources[i].mu.Unlock()
		if l.IsReader() {
			reader = i
		}
	}
	f.sources[reader].mu.Lock()
	f.sources[reader].version = 9
	f.sources[reader].mu.Unlock()
	f.linkers[reader].BroadcastRecords([]savoryloft.ControlRecord{{Key: "config", Position: 9}}, "")
	f.eventually(t, "records reach all", func(i int) bool { return f.sources[i].withLock(func(p *fakeSource) bool { return p.version == 9 }) })
	time.Sleep(resendThreshold * defaultInterval) // Records are resent to lagging peers by then.
	for i, p := range f.sources {
		maxFrames := hubsPerDomain
		if f.linkers[i].IsHub() {
			maxFrames = readerCount + 1 // One from each reader, and one resent after a status.
		}
		require.True(t, p.withLock(func(p *fakeSource) bool { return p.recordFrames <= maxFrames }), "instance %d received %d copies", i, p.recordFrames)
	}
}

// The side that did not dial must reply to each status immediately. Otherwise the
// echoed statuses are older, and so the derived ages are larger than one interval
// plus the network delay.
func TestStatusesGetImmediateReplies(t *testing.T) {
	f := startCluster(t, 2, 1)
	f.eventually(t, "statuses", func(i int) bool { return f.sources[i].withLock(func(p *fakeSource) bool { return p.statuses > 20 }) })
	total := 0
	for _, p := range f.sources {
		total += p.statuses
	}
	require.Greater(t, total, 40)
}

// The ages in a status are relative to the time at which this instance sent the
// echoed status, plus the time since the peer received it, but never to a time in
// the future.
func TestStatusAgesCountFromTheEchoedStatus(t *testing.T) {
	const sentAgo = 300 * time.Millisecond
	for _, tt := range []struct {
		name    string
		echo    int
		echoAge time.Duration
		after   time.Duration // From sending the echoed status to asOf; -1 if asOf must be 0.
	}{
		{"echoes no status", 0, 0, -1},
		{"echoes a status whose send time is not stored", 9, 0, -1},
		{"immediate reply", 1, 0, 0},
		{"delayed reply", 1, 250 * time.Millisecond, 250 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			sentAt := savoryloft.Uptime() - sentAgo
			sourceAsOf, yielded := handleOneStatus(sentAt, tt.echo, tt.echoAge)
			require.Equal(t, sourceAsOf, yielded, "a yield is stored only if the send time of the echoed status is known")
			if tt.after < 0 {
				require.Zero(t, sourceAsOf)
				return
			}
			require.Equal(t, sentAt+tt.after, sourceAsOf)
		})
	}
	asOf, _ := handleOneStatus(savoryloft.Uptime()-sentAgo, 1, time.Minute)
	require.LessOrEqual(t, asOf, savoryloft.Uptime(), "a peer that claims to have received the status before it was sent")
}

// handleOneStatus passes a status to a linker that sent its own status 1 at uptime
// sentAt. It returns the asOf passed to the source and the uptime stored for the
// yield.
func handleOneStatus(sentAt time.Duration, echo int, echoAge time.Duration) (asOf, yielded time.Duration) {
	source := &statusRecorder{}
	l := &Linker{Instance: "a", Logger: logr.Discard(), Source: source}
	l.init()
	k := &link{
		linker: l, peer: savoryloft.LinkGreeting{Instance: "b", Incarnation: 1}, dialed: true,
		sentAt: map[int]time.Duration{1: sentAt}, loads: map[string]savoryloft.LinkLoad{},
	}
	l.addMembers([]savoryloft.LinkGreeting{k.peer}, nil)
	k.handleStatus(&savoryloft.LinkStatus{
		Sequence: 4, Echo: echo, EchoAge: int(echoAge / time.Millisecond), Yielded: true, LeaderAge: -1,
	}, nil)
	return source.asOf, l.Members()[0].Yielded
}

// statusRecorder stores the asOf of the last status.
type statusRecorder struct {
	fakeSource
	asOf time.Duration
}

func (s *statusRecorder) ApplyStatus(_ string, _ *savoryloft.LinkStatus, _ *savoryloft.RegistryState, asOf time.Duration) {
	s.asOf = asOf
}

// Seeds added while a linker runs must be dialed like its initial seeds.
func TestAddedSeedsAreDialed(t *testing.T) {
	dialed := make(chan string, 8)
	l := &Linker{
		Instance: "a", Address: "10.0.0.1:1", Seeds: []string{"10.0.0.2:1"}, Logger: logr.Discard(), Source: &fakeSource{},
		Dial: func(_ context.Context, address string) (net.Conn, error) {
			dialed <- address
			return nil, net.ErrClosed
		},
	}
	l.AddSeeds([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	l.maintain(context.Background())
	l.wg.Wait()
	close(dialed)
	var list []string
	for a := range dialed {
		list = append(list, a)
	}
	require.ElementsMatch(t, []string{"10.0.0.2:1", "10.0.0.3:1"}, list, "each seed once, except this instance itself")
}

// A record must be sent without the delay that coalesces load updates, and without
// waiting for the next status.
func TestRecordsDoNotWaitForUpdates(t *testing.T) {
	for _, tt := range []struct {
		name    string
		members int
	}{
		{"mesh", 1},
		{"hubs", maxMeshInstances},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var greetings []savoryloft.LinkGreeting
				for i := range tt.members {
					greetings = append(greetings, savoryloft.LinkGreeting{Instance: fmt.Sprint("b", i), Incarnation: 1, Address: "127.0.0.1:9", Protocol: protocol})
				}
				l := &Linker{Instance: "a", Interval: time.Minute, Logger: logr.Discard(), Source: &fakeSource{}}
				l.init()
				l.AddMembers(greetings)
				p := linkPeer(t, l, greetings[0])
				if tt.members > 1 {
					require.NotEmpty(t, p.read().Members)
				}
				started := time.Now()
				l.BroadcastUpdate(nil)
				synctest.Wait() // The writer has received the update request.
				l.BroadcastRecords([]savoryloft.ControlRecord{{Key: "config", Position: 9}}, "")
				require.NotEmpty(t, p.read().Records, "records are sent before the update")
				require.Zero(t, time.Since(started))
				if tt.members == 1 {
					require.NotNil(t, p.read().Update)
				}
			})
		})
	}
}

// testPeer is the other end of a link of a linker under test.
type testPeer struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// linkPeer opens a link between l and a peer, whose end the test plays in a synctest
// bubble. The link ends with the test.
func linkPeer(t *testing.T, l *Linker, g savoryloft.LinkGreeting) *testPeer {
	local, remote := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.runLink(ctx, local, true)
	}()
	t.Cleanup(func() {
		cancel()
		_ = remote.Close()
		<-done
	})
	p := &testPeer{t, remote, bufio.NewReader(remote)}
	p.read()
	p.write(savoryloft.LinkFrame{Greeting: &g})
	synctest.Wait() // The link is registered, unless it was refused.
	return p
}

func (p *testPeer) read() (f savoryloft.LinkFrame) {
	body, err := framer.ReadBody(p.reader)
	require.NoError(p.t, err)
	require.NoError(p.t, framer.Decode(body, &f))
	return f
}

func (p *testPeer) write(f savoryloft.LinkFrame) {
	data, err := framer.Encode(&f)
	require.NoError(p.t, err)
	_, err = p.conn.Write(data)
	require.NoError(p.t, err)
}

// A link may end before it has sent the parts that were queued on it. The link that
// replaces it must send them, since they are queued only once.
func TestPartsOfAnEndedLinkAreSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Linker{Instance: "a", Interval: time.Second, Logger: logr.Discard(), Source: &fakeSource{}}
		l.init()
		peer := savoryloft.LinkGreeting{Instance: "b", Incarnation: 1, Address: "127.0.0.1:9", Protocol: protocol}
		first := linkPeer(t, l, peer)
		held := savoryloft.HeldPart{Upstream: "u", Part: "p", Tokens: 5}
		l.BroadcastUpdate([]savoryloft.HeldPart{held})
		_ = first.conn.Close()
		synctest.Wait()
		second := linkPeer(t, l, peer)
		for {
			f := second.read()
			if f.Status == nil {
				continue
			}
			require.Equal(t, []savoryloft.HeldPart{held}, f.Status.Parts)
			return
		}
	})
}

// A delayed connection of a process that has been replaced must not take the place
// of its successor's.
func TestLinkOfAnEarlierIncarnationIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Linker{Instance: "a", Interval: time.Second, Logger: logr.Discard(), Source: &fakeSource{}}
		l.init()
		peer := savoryloft.LinkGreeting{Instance: "b", Incarnation: 2, Address: "127.0.0.1:9", Protocol: protocol}
		current := linkPeer(t, l, peer)
		peer.Incarnation = 1
		late := linkPeer(t, l, peer)
		_, err := framer.ReadBody(late.reader)
		require.Error(t, err)
		require.NotNil(t, current.read().Status)
		require.Equal(t, 2, l.links["b"].peer.Incarnation)
	})
}

// Instances of builds with other frames must not misread each other's fields.
func TestLinksBetweenProtocolsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Linker{Instance: "a", Interval: time.Second, Logger: logr.Discard(), Source: &fakeSource{}}
		l.init()
		p := linkPeer(t, l, savoryloft.LinkGreeting{Instance: "b", Incarnation: 1, Address: "127.0.0.1:9"})
		_, err := framer.ReadBody(p.reader)
		require.Error(t, err)
		require.Empty(t, l.Members())
	})
}

// Members that have fallen silent must not be told around again by peers that have
// not noticed it yet, and must not take the place of a live hub when the member list
// of the log names them again.
func TestExpiredMembersStayAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Linker{
			Instance: "z", FailureDomain: "d0", Logger: logr.Discard(), Source: &fakeSource{},
			Dial: func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed },
		}
		l.init()
		var gone []savoryloft.LinkGreeting
		for i := range maxMeshInstances + 4 {
			gone = append(gone, savoryloft.LinkGreeting{
				Instance: fmt.Sprint("e", i), Incarnation: 1, FailureDomain: "d0", Address: "127.0.0.1:9", Power: 900,
			})
		}
		l.AddMembers(gone)
		require.False(t, l.IsHub(), "new members count as candidates")
		time.Sleep(memberTimeout + time.Second)
		l.maintain(t.Context())
		require.Empty(t, l.Members())
		l.mu.Lock()
		l.addMembers(gone, nil)
		l.mu.Unlock()
		require.Empty(t, l.Members(), "a peer's word does not bring them back")
		l.AddMembers(gone)
		require.Len(t, l.Members(), len(gone))
		require.True(t, l.IsHub())
		gone[0].Incarnation = 2
		l.AddMembers(gone[:1])
		l.mu.Lock()
		require.True(t, l.members["e0"].isHubCandidate(savoryloft.Uptime()), "a new incarnation is a candidate again")
		l.mu.Unlock()
		l.wg.Wait()
	})
}

// An instance that is not a hub must dial its hubs. As the dialing side it gets an
// immediate reply to each status, which keeps the ages it receives small.
func TestNonHubsDialTheirHubs(t *testing.T) {
	const n = 24
	name := func(i int) string { return fmt.Sprintf("%c%d", 'a'+i, i) }
	hubs := 0
	for self := range n {
		l := &Linker{Instance: name(self), FailureDomain: "d0", Logger: logr.Discard(), Source: &fakeSource{}}
		l.init()
		var greetings []savoryloft.LinkGreeting
		for i := range n {
			greetings = append(greetings, savoryloft.LinkGreeting{
				Instance: name(i), Incarnation: 1, FailureDomain: "d0", Address: "127.0.0.1:9",
			})
		}
		l.AddMembers(greetings)
		l.mu.Lock()
		now, dialed := savoryloft.Uptime(), 0
		for peer, m := range l.members {
			if l.shouldDial(peer, m, now) {
				dialed++
				require.True(t, l.topology.hubs[peer], "%s dials %s", name(self), peer)
			}
		}
		if l.topology.hub {
			hubs++
		} else {
			require.Equal(t, hubsPerDomain, dialed)
		}
		l.mu.Unlock()
	}
	require.Equal(t, hubsPerDomain, hubs)
}

func TestInvalidFramesEndTheLink(t *testing.T) {
	f := startCluster(t, 1, 1)
	for _, frame := range []savoryloft.LinkFrame{
		{},
		{Greeting: &savoryloft.LinkGreeting{}},
		{Greeting: &savoryloft.LinkGreeting{Instance: "x"}},
	} {
		conn, err := net.Dial("tcp", f.linkers[0].Address)
		require.NoError(t, err)
		data, err := framer.Encode(&frame)
		require.NoError(t, err)
		_, err = conn.Write(data)
		require.NoError(t, err)
		_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
		buf := make([]byte, 4096)
		for err == nil {
			_, err = conn.Read(buf)
		}
		require.ErrorContains(t, err, "EOF")
		_ = conn.Close()
	}
	require.Empty(t, f.linkers[0].Members())
}

func FuzzLinkFrame(f *testing.F) {
	for _, frame := range []savoryloft.LinkFrame{
		{Greeting: &savoryloft.LinkGreeting{Instance: "a", Address: "b", Protocol: protocol}},
		{Status: &savoryloft.LinkStatus{Loads: &savoryloft.LoadChanges{Names: []string{"u"}, Values: []int{0, 1, 2, 3}}}},
		{Suspicions: &savoryloft.Suspicions{
			Crashes:  []savoryloft.UpstreamCrash{{Upstream: "u", Parts: []savoryloft.SuspectPart{{Part: "p", Depth: 1}}}},
			Verdicts: []savoryloft.PartVerdict{{Part: "p", Version: 1, State: 1, Strikes: 1, Remaining: 1000}},
		}},
		{Status: &savoryloft.LinkStatus{Usage: []savoryloft.UsageBatch{{Source: "s", Window: 1, Accounts: []string{"a"}, Requests: []int{1}}}}},
		{Update: &savoryloft.LoadUpdate{Parts: []savoryloft.HeldPart{{Upstream: "u", Part: "p"}}}},
	} {
		data, err := framer.Encode(&frame)
		require.NoError(f, err)
		f.Add(data[framer.HeaderBytes:])
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		var frame savoryloft.LinkFrame
		if framer.Decode(body, &frame) == nil {
			_ = frame.Check()
		}
	})
}

// An instance that has lost all others may use its part of the upstreams only, until the
// others are known to be gone.
func TestLoadShareOfLostInstances(t *testing.T) {
	f := startCluster(t, 3, 1)
	for _, l := range f.linkers {
		require.InDelta(t, 1, l.LoadShare(), 0, "no other one is known yet")
	}
	f.eventually(t, "every instance has all members", func(i int) bool {
		return len(f.linkers[i].Members()) == 2 && f.linkers[i].Allocation(false) != Allocation{} && f.linkers[i].LoadShare() == 1
	})
	f.cancels[1]()
	f.cancels[2]()
	require.Eventually(t, func() bool { return f.linkers[0].LoadShare() < 0.34 }, testTimeout, 20*time.Millisecond)
}
