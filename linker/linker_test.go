package linker

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/framer"
)

const patient = 10 * time.Second // Longest wait for what should happen within a second or two.

// part is the source of one instance: a version, loads and counts.
type part struct {
	mu       sync.Mutex
	version  int
	loads    []savoryloft.LinkLoad
	taken    []savoryloft.HeldPart
	statuses int
	copies   int                                                   // Frames with records.
	relay    func(records []savoryloft.ControlRecord, from string) // Passes on what was new; may be nil.
	oldest   time.Duration                                         // Largest age of a peer's status answer.
}

func (p *part) FillStatus(s *savoryloft.LinkStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Version, s.VersionAge, s.RegistryOffset, s.RegistryRead, s.RegistryAge, s.LeaderAge = p.version, 0, -1, -1, -1, -1
	s.Wall = int(time.Now().UnixMilli())
}

func (p *part) Loads() []savoryloft.LinkLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]savoryloft.LinkLoad(nil), p.loads...)
}

func (p *part) UsageSince(map[savoryloft.UsageCount]int, bool) []savoryloft.UsageCount { return nil }

func (p *part) RecordsSince(version, _ int) []savoryloft.ControlRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version <= version {
		return nil
	}
	return []savoryloft.ControlRecord{{Key: "config", Offset: p.version}}
}

func (p *part) TakeRecords(peer string, records []savoryloft.ControlRecord) {
	p.mu.Lock()
	before := p.version
	for _, r := range records {
		p.version = max(p.version, r.Offset)
	}
	p.copies++
	fresh := p.version > before && p.relay != nil
	p.mu.Unlock()
	if fresh {
		p.relay(records, peer)
	}
}

func (p *part) TakeUsage([]savoryloft.UsageCount) {}

func (p *part) TakeStatus(_ string, _ *savoryloft.LinkStatus, asOf time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if asOf > 0 {
		p.statuses++
		p.oldest = max(p.oldest, savoryloft.Uptime()-asOf)
	}
}

func (p *part) TakeParts(parts []savoryloft.HeldPart) []savoryloft.HeldPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	var fresh []savoryloft.HeldPart
	for _, part := range parts {
		known := false
		for _, old := range p.taken {
			known = known || old == part
		}
		if !known {
			fresh = append(fresh, part)
		}
	}
	p.taken = append(p.taken, fresh...)
	return fresh
}

func (p *part) LoadsChanged() {}

func (p *part) get(f func(p *part) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return f(p)
}

type fleet struct {
	linkers []*Linker
	parts   []*part
	cancels []context.CancelFunc
}

// startFleet starts instances in some failure domains; all know the first.
func startFleet(t *testing.T, n, domains int) *fleet {
	f := &fleet{}
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		p := &part{}
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
		f.linkers, f.parts, f.cancels = append(f.linkers, l), append(f.parts, p), append(f.cancels, cancel)
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

func (f *fleet) eventually(t *testing.T, what string, ok func(i int) bool) {
	require.Eventually(t, func() bool {
		for i := range f.linkers {
			if !ok(i) {
				return false
			}
		}
		return true
	}, patient, 20*time.Millisecond, what)
}

func TestMeshSpreadsRecordsAndLoads(t *testing.T) {
	f := startFleet(t, 5, 2)
	f.eventually(t, "all know all", func(i int) bool { return len(f.linkers[i].Members()) == 4 })
	f.parts[3].mu.Lock()
	f.parts[3].version = 7
	f.parts[3].loads = []savoryloft.LinkLoad{{Upstream: "u", Running: 3, Prefill: 500, Tokens: 10}}
	f.parts[3].mu.Unlock()
	f.eventually(t, "records reach all", func(i int) bool { return f.parts[i].get(func(p *part) bool { return p.version == 7 }) })
	f.eventually(t, "loads reach all others", func(i int) bool { return i == 3 || f.linkers[i].PeerLoads()["u"].Running == 3 })
	f.parts[3].mu.Lock()
	f.parts[3].loads = nil
	f.parts[3].mu.Unlock()
	f.eventually(t, "and leave", func(i int) bool { return len(f.linkers[i].PeerLoads()) == 0 })
	readers := 0
	for _, l := range f.linkers {
		if l.IsReader() {
			readers++
		}
	}
	require.Equal(t, 2, readers)
}

func TestKilledInstancesAreReplacedAsReaders(t *testing.T) {
	f := startFleet(t, 4, 1)
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
		if l.Position() == 0 {
			f.cancels[i]()
			f.linkers = append(f.linkers[:i:i], f.linkers[i+1:]...)
			break
		}
	}
	require.Eventually(t, func() bool {
		first := 0
		for _, l := range f.linkers {
			if l.Position() == 0 {
				first++
			}
		}
		return first == 1
	}, patient, 20*time.Millisecond)
}

// Beyond the size of a mesh each instance links to hubs only; loads are
// counted once at every instance, and parts reach all.
func TestHubs(t *testing.T) {
	const n, domains = 24, 3
	f := startFleet(t, n, domains)
	f.eventually(t, "all know all", func(i int) bool { return len(f.linkers[i].Members()) == n-1 })
	for i, p := range f.parts {
		p.mu.Lock()
		p.loads = []savoryloft.LinkLoad{{Upstream: "u", Running: 1, Tokens: i + 1}}
		p.mu.Unlock()
	}
	f.eventually(t, "each counts all others once", func(i int) bool { return f.linkers[i].PeerLoads()["u"].Running == n-1 })
	f.eventually(t, "links from the time as a mesh end", func(i int) bool {
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
	f.linkers[7].Update([]savoryloft.HeldPart{held})
	f.eventually(t, "parts reach all", func(i int) bool {
		return i == 7 || f.parts[i].get(func(p *part) bool { return len(p.taken) > 0 })
	})
	f.parts[11].mu.Lock()
	f.parts[11].version = 9
	f.parts[11].mu.Unlock()
	f.eventually(t, "records reach all", func(i int) bool { return f.parts[i].get(func(p *part) bool { return p.version == 9 }) })
}

// Hubs work for their whole failure domain, so they are the instances that may
// use the most processor time.
func TestHubsAreThePowerfulInstances(t *testing.T) {
	l := &Linker{Instance: "m", FailureDomain: "d0", Power: 200, Logger: logr.Discard(), Source: &part{}}
	l.init()
	strong := map[string]bool{"b3": true, "b11": true}
	var greetings []savoryloft.LinkGreeting
	for i := range 20 {
		g := savoryloft.LinkGreeting{Instance: fmt.Sprint("b", i), Incarnation: 1, FailureDomain: "d0", Address: "127.0.0.1:9", Power: 200}
		if strong[g.Instance] {
			g.Power = 800
		}
		greetings = append(greetings, g)
	}
	l.AddMembers(greetings)
	l.mu.Lock()
	defer l.mu.Unlock()
	require.Equal(t, strong, l.arrange(savoryloft.Uptime()).hubs)
}

// Records are large where configurations are: with hubs each instance gets them
// from those that it relies on, and not from all that have them.
func TestHubsDoNotRepeatRecords(t *testing.T) {
	const n, domains = 24, 3
	f := startFleet(t, n, domains)
	f.eventually(t, "hubs are settled", func(i int) bool {
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
		f.parts[i].mu.Lock()
		f.parts[i].relay = l.Send
		f.parts[i].mu.Unlock()
		if l.IsReader() {
			reader = i
		}
	}
	f.parts[reader].mu.Lock()
	f.parts[reader].version = 9
	f.parts[reader].mu.Unlock()
	f.linkers[reader].Send([]savoryloft.ControlRecord{{Key: "config", Offset: 9}}, "")
	f.eventually(t, "records reach all", func(i int) bool { return f.parts[i].get(func(p *part) bool { return p.version == 9 }) })
	time.Sleep(resendAfter * defaultInterval) // Whoever lags is told again by then.
	for i, p := range f.parts {
		most := hubsPerDomain
		if f.linkers[i].IsHub() {
			most = readers + 1 // From each reader, and once more from one that was told by status.
		}
		require.True(t, p.get(func(p *part) bool { return p.copies <= most }), "instance %d got %d copies", i, p.copies)
	}
}

// An answered status is never older than one interval and the way.
func TestStatusesAreAnsweredAtOnce(t *testing.T) {
	f := startFleet(t, 2, 1)
	f.eventually(t, "statuses", func(i int) bool { return f.parts[i].get(func(p *part) bool { return p.statuses > 20 }) })
	total := 0
	for _, p := range f.parts {
		total += p.statuses
	}
	require.Greater(t, total, 40)
}

// What a peer states counts from when this instance sent what the peer answers,
// and the time that the peer has had it; never from later than now.
func TestStatusCountsFromWhatItAnswers(t *testing.T) {
	const sentAgo = 300 * time.Millisecond
	for _, tt := range []struct {
		name    string
		echo    int
		echoAge time.Duration
		after   time.Duration // Of the question, as of which the status counts; -1 when it does not.
	}{
		{"answers nothing", 0, 0, -1},
		{"answers what is not known any more", 9, 0, -1},
		{"answered at once", 1, 0, 0},
		{"answered after a while", 1, 250 * time.Millisecond, 250 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			asked := savoryloft.Uptime() - sentAgo
			source, yielded := takeOne(asked, tt.echo, tt.echoAge)
			require.Equal(t, source, yielded, "a yield that answers nothing does not count")
			if tt.after < 0 {
				require.Zero(t, source)
				return
			}
			require.Equal(t, asked+tt.after, source)
		})
	}
	asOf, _ := takeOne(savoryloft.Uptime()-sentAgo, 1, time.Minute)
	require.LessOrEqual(t, asOf, savoryloft.Uptime(), "a peer that claims to have had the question before it was sent")
}

// takeOne lets a linker take in a status that answers one sent at an uptime. It
// returns as of when it counted, and the uptime of the yield in it.
func takeOne(asked time.Duration, echo int, echoAge time.Duration) (asOf, yielded time.Duration) {
	source := &statusTaker{}
	l := &Linker{Instance: "a", Logger: logr.Discard(), Source: source}
	l.init()
	k := &link{
		linker: l, peer: savoryloft.LinkGreeting{Instance: "b", Incarnation: 1}, dialer: true,
		sentAt: map[int]time.Duration{1: asked}, loads: map[string]savoryloft.LinkLoad{},
	}
	l.addMembers([]savoryloft.LinkGreeting{k.peer}, nil)
	k.takeStatus(&savoryloft.LinkStatus{
		Sequence: 4, Echo: echo, EchoAge: int(echoAge / time.Millisecond), Yielded: true, LeaderAge: -1,
	})
	return source.asOf, l.Members()[0].Yielded
}

// statusTaker keeps when the last status was taken as of.
type statusTaker struct {
	part
	asOf time.Duration
}

func (s *statusTaker) TakeStatus(_ string, _ *savoryloft.LinkStatus, asOf time.Duration) {
	s.asOf = asOf
}

// Seeds that are added while a linker runs are dialled like those of its start.
func TestAddedSeedsAreDialled(t *testing.T) {
	dialled := make(chan string, 8)
	l := &Linker{
		Instance: "a", Address: "10.0.0.1:1", Seeds: []string{"10.0.0.2:1"}, Logger: logr.Discard(), Source: &part{},
		Dial: func(_ context.Context, address string) (net.Conn, error) {
			dialled <- address
			return nil, net.ErrClosed
		},
	}
	l.AddSeeds([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	l.maintain(context.Background())
	l.group.Wait()
	close(dialled)
	var list []string
	for a := range dialled {
		list = append(list, a)
	}
	require.ElementsMatch(t, []string{"10.0.0.2:1", "10.0.0.3:1"}, list, "not this instance itself, and none twice")
}

// A record does not wait for the pause in which load updates are taken together.
func TestRecordsDoNotWaitForUpdates(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	l := &Linker{Instance: "a", Interval: time.Minute, Logger: logr.Discard(), Source: &part{}}
	l.init()
	// Enough members for hubs, whose updates pause longest.
	var greetings []savoryloft.LinkGreeting
	for i := range meshLimit {
		greetings = append(greetings, savoryloft.LinkGreeting{Instance: fmt.Sprint("b", i), Incarnation: 1, Address: "127.0.0.1:9"})
	}
	l.AddMembers(greetings)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.keep(ctx, near, true)
	reader := bufio.NewReader(far)
	read := func() (f savoryloft.LinkFrame) {
		body, err := framer.ReadBody(reader)
		require.NoError(t, err)
		require.NoError(t, framer.Decode(body, &f))
		return f
	}
	read()
	data, err := framer.Encode(&savoryloft.LinkFrame{Greeting: &greetings[0]})
	require.NoError(t, err)
	_, err = far.Write(data)
	require.NoError(t, err)
	require.NotEmpty(t, read().Members)
	l.Update(nil)
	time.Sleep(hubUpdatePause / 10) // The writer has taken the update in.
	l.Send([]savoryloft.ControlRecord{{Key: "config", Offset: 9}}, "")
	require.NotEmpty(t, read().Records, "before the update")
	require.NotNil(t, read().Update)
}

// An instance that is no hub dials its hubs, so that what they state is as young
// there as their statuses are frequent.
func TestOthersDialTheirHubs(t *testing.T) {
	const n = 24
	name := func(i int) string { return fmt.Sprintf("%c%d", 'a'+i, i) }
	hubs := 0
	for self := range n {
		l := &Linker{Instance: name(self), FailureDomain: "d0", Logger: logr.Discard(), Source: &part{}}
		l.init()
		var greetings []savoryloft.LinkGreeting
		for i := range n {
			greetings = append(greetings, savoryloft.LinkGreeting{
				Instance: name(i), Incarnation: 1, FailureDomain: "d0", Address: "127.0.0.1:9",
			})
		}
		l.AddMembers(greetings)
		l.mu.Lock()
		now, dialled := savoryloft.Uptime(), 0
		for peer, m := range l.members {
			if l.wants(peer, m, now) {
				dialled++
				require.True(t, l.topology.hubs[peer], "%s dials %s", name(self), peer)
			}
		}
		if l.topology.hub {
			hubs++
		} else {
			require.Equal(t, hubsPerDomain, dialled)
		}
		l.mu.Unlock()
	}
	require.Equal(t, hubsPerDomain, hubs)
}

func TestInvalidFramesEndTheLink(t *testing.T) {
	f := startFleet(t, 1, 1)
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
		_ = conn.SetReadDeadline(time.Now().Add(patient))
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
		{Greeting: &savoryloft.LinkGreeting{Instance: "a", Address: "b"}},
		{Status: &savoryloft.LinkStatus{Loads: []savoryloft.LinkLoad{{Upstream: "u"}}}},
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
