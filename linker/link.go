package linker

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/framer"
)

const (
	maxQueuedFrames   = 256                  // Capacity of a link's send queue; the link is closed when it overflows.
	maxSentTimes      = 64                   // Send times stored per link; echoed statuses are far more recent.
	updateDelay       = 5 * time.Millisecond // Coalesces changes into one update.
	fullLoadsInterval = 40                   // Every 40th status carries all loads instead of the changed ones.
	resendThreshold   = 3                    // Consecutive statuses with old versions after which records are sent again.
	// secondaryIntervalFactor is the interval between statuses on a link that only
	// serves as a fallback, as a multiple of the usual one.
	secondaryIntervalFactor = 2
	// protocol is the version of the types inside frames. Instances of different versions
	// do not keep a link, since the fields of these types have no names on the wire.
	// Additions are new fields of a frame, which peers of other builds skip.
	protocol = 2
)

// link is one connection to a peer.
type link struct {
	linker    *Linker
	conn      net.Conn
	reader    *bufio.Reader
	peer      savoryloft.LinkGreeting
	features  []string // That the peer has.
	dialed    bool     // Whether this instance opened the connection.
	sendQueue chan savoryloft.LinkFrame
	statusDue chan struct{}
	updateDue chan struct{}
	cancel    context.CancelFunc

	mu             sync.Mutex
	sequence       int                   // Of the last status sent.
	peerSequence   int                   // Of the last status received.
	peerSequenceAt time.Duration         // Uptime at which that status was received.
	sentAt         map[int]time.Duration // Uptimes at which statuses were sent, by sequence.

	// Guarded by the linker's lock.
	loads          map[string]savoryloft.LinkLoad // Received from the peer, by upstream.
	child          bool                           // Whether the peer relies on this instance to relay its loads.
	hasClockOffset bool
	clockOffset    time.Duration         // The peer's wall clock minus this instance's.
	clockOffsetAt  time.Time             // Local time of the measurement, with its monotonic reading.
	unneededSince  time.Duration         // Uptime since which neither side needs the link; 0 while one does.
	pendingParts   []savoryloft.HeldPart // Not yet sent to the peer.
	decoder        loadDecoder
	instances      int           // Live instances according to the peer's last status.
	domainCount    int           // Live instances of the peer's failure domain according to that status.
	countedAt      time.Duration // Uptime of that status.

	// Used only by the reader.
	behindCount int                       // Consecutive statuses in which the peer lacked records.
	registry    *savoryloft.RegistryState // Last received from the peer; nil if its build does not send it.

	// Used only by the writer.
	usageCursor  int
	leaveCursor  int
	encoder      loadEncoder
	registrySent *savoryloft.RegistryState // Last sent to the peer; nil before.
}

// runLink serves one connection until it ends. dialed is whether this instance
// opened it.
func (l *Linker) runLink(ctx context.Context, conn net.Conn, dialed bool) {
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	k := &link{
		linker: l, conn: conn, reader: bufio.NewReader(conn), dialed: dialed, cancel: cancel,
		sendQueue: make(chan savoryloft.LinkFrame, maxQueuedFrames), statusDue: make(chan struct{}, 1),
		updateDue: make(chan struct{}, 1),
		sentAt:    map[int]time.Duration{}, loads: map[string]savoryloft.LinkLoad{},
	}
	if err := k.exchangeGreetings(); err != nil {
		l.Logger.V(1).Info("link handshake failed", "step", savoryloft.StepPeer, "peer", conn.RemoteAddr().String(), "error", err.Error())
		return
	}
	if !l.addLink(k) {
		return
	}
	l.Logger.Info("link up", "step", savoryloft.StepPeer, "peer", k.peer.Instance, "incarnation", k.peer.Incarnation, "dialled", dialed)
	if records := l.Source.Evacuations(); len(records) > 0 {
		k.send(savoryloft.LinkFrame{Records: records})
	}
	if list := l.Source.Detours(); len(list) > 0 {
		k.send(savoryloft.LinkFrame{Detours: list})
	}
	if f := l.Source.DutyFacts(); len(f.Figures)+len(f.Sizes) > 0 && l.isHub(k.peer.Instance) {
		k.send(savoryloft.LinkFrame{Duties: &f})
	}
	if limits := l.Source.Limits(); len(limits) > 0 {
		l.SendLimits(k.peer.Instance, savoryloft.LimitExchange{Limits: limits})
	}
	if s := l.Source.Suspicions(); len(s.Crashes)+len(s.Verdicts) > 0 {
		k.send(savoryloft.LinkFrame{Suspicions: &s})
	}
	k.sendKnownOrigins()
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.write(ctx)
		cancel()
	}()
	err := k.read()
	cancel()
	<-done
	l.removeLink(k, err)
}

// exchangeGreetings sends this instance's greeting and reads the peer's.
func (k *link) exchangeGreetings() error {
	g := k.linker.greeting()
	if err := k.writeFrame(savoryloft.LinkFrame{Greeting: &g, Features: []string{featureLimits}}); err != nil {
		return err
	}
	f, err := k.readFrame()
	if err != nil {
		return err
	}
	if f.Greeting == nil || f.Greeting.Instance == g.Instance {
		return errors.New("first frame is not a greeting from another instance")
	}
	k.peer, k.features = *f.Greeting, f.Features
	if k.peer.Protocol != protocol {
		k.linker.rejectProtocol(k.peer)
		return errors.Errorf("%s has version %d of the protocol, want %d", k.peer.Instance, k.peer.Protocol, protocol)
	}
	return nil
}

// rejectProtocol logs, once for each incarnation, that no link is kept to a peer
// whose build has another version of the protocol.
func (l *Linker) rejectProtocol(g savoryloft.LinkGreeting) {
	name := fmt.Sprintf("%s/%d", g.Instance, g.Incarnation)
	l.mu.Lock()
	known := l.rejected[name]
	l.rejected[name] = true
	l.mu.Unlock()
	if !known {
		l.Logger.Info("no link to a peer with another protocol", "step", savoryloft.StepPeer, "peer", g.Instance,
			"protocol", g.Protocol, "own_protocol", protocol)
	}
}

// addLink registers k as the link to its peer and reports whether to use it.
// When both sides dial at once, the link dialed by the instance with the smaller
// name is kept. Any other earlier link to the peer is replaced.
func (l *Linker) addLink(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.links[k.peer.Instance]; old != nil {
		if old.peer.Incarnation > k.peer.Incarnation {
			return false // A connection of the process that the peer has replaced.
		}
		sameIncarnation := old.peer.Incarnation == k.peer.Incarnation
		preferred := old.dialed == (l.Instance < k.peer.Instance)
		if sameIncarnation && preferred && old.dialed != k.dialed {
			return false
		}
		old.dropLoads()
		old.cancel()
	}
	l.addMembers([]savoryloft.LinkGreeting{k.peer}, k)
	if m := l.members[k.peer.Instance]; m != nil {
		m.lastStatusAt, m.unneeded = savoryloft.Uptime(), false
	}
	l.links[k.peer.Instance] = k
	delete(l.lost, k.peer.Instance)
	l.topology.stale = true
	l.queueRecentParts(k)
	others := make([]savoryloft.LinkGreeting, 0, len(l.members))
	for _, m := range l.members {
		if m.greeting.Instance != k.peer.Instance {
			others = append(others, m.greeting)
		}
	}
	if len(others) > 0 {
		k.send(savoryloft.LinkFrame{Members: others})
	}
	return true
}

// removeLink unregisters a link that has ended.
func (l *Linker) removeLink(k *link, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[k.peer.Instance] == k {
		k.dropLoads()
		delete(l.links, k.peer.Instance)
		l.topology.stale = true
		if m := l.members[k.peer.Instance]; m != nil {
			m.unneeded = k.unneededSince > 0
		}
	}
	reason := "closed"
	if err != nil {
		reason = err.Error()
	}
	l.Logger.Info("link down", "step", savoryloft.StepPeer, "peer", k.peer.Instance, "reason", reason)
}

// send queues a frame without blocking. It closes the link if the queue is full.
func (k *link) send(f savoryloft.LinkFrame) {
	select {
	case k.sendQueue <- f:
	default:
		k.cancel()
	}
}

// requestStatus makes the writer send a status immediately.
func (k *link) requestStatus() {
	select {
	case k.statusDue <- struct{}{}:
	default:
	}
}

// requestUpdate makes the writer send an update after the coalescing delay.
func (k *link) requestUpdate() {
	select {
	case k.updateDue <- struct{}{}:
	default:
	}
}

// write sends queued frames, updates and statuses. The dialing side sends a
// status at each interval and the other side replies immediately, which keeps
// the ages derived from echoed statuses as small as possible.
func (k *link) write(ctx context.Context) {
	t := time.NewTimer(savoryloft.AlignDelay(k.statusInterval()))
	defer t.Stop()
	var update <-chan time.Time // Fires when a requested update is due; nil when none is.
	for {
		var f savoryloft.LinkFrame
		select {
		case <-ctx.Done():
			return
		case f = <-k.sendQueue:
		case <-k.updateDue:
			if update == nil {
				update = time.After(updateDelay)
			}
			continue
		case <-update:
			update = nil
			f = savoryloft.LinkFrame{Update: k.newUpdate()}
		case <-k.statusDue:
			f = k.newStatusFrame()
		case <-t.C:
			t.Reset(savoryloft.AlignDelay(k.statusInterval()))
			f = k.newStatusFrame()
		}
		if k.writeFrame(f) != nil {
			return
		}
	}
}

// statusInterval returns the time between the statuses that the writer sends on its
// own. The side that did not dial only replies, unless the other one falls silent.
// The link to a hub that is not the primary one only has to show that it works.
func (k *link) statusInterval() time.Duration {
	l := k.linker
	if !k.dialed {
		return linkTimeout
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.currentTopology(savoryloft.Uptime())
	primary := k.child || t.primary == k.peer.Instance
	if !t.mesh && !primary && (!t.hub || !t.hubs[k.peer.Instance]) {
		return secondaryIntervalFactor * l.Interval
	}
	return l.Interval
}

func (k *link) writeFrame(f savoryloft.LinkFrame) error {
	data, err := framer.Encode(&f)
	if err != nil {
		return errors.Annotate(err, "encode frame")
	}
	_ = k.conn.SetWriteDeadline(time.Now().Add(linkTimeout))
	n, err := k.conn.Write(data)
	k.linker.sentBytes.Add(int64(n))
	return err
}

func (k *link) readFrame() (savoryloft.LinkFrame, error) {
	var f savoryloft.LinkFrame
	_ = k.conn.SetReadDeadline(time.Now().Add(linkTimeout))
	body, err := framer.ReadBody(k.reader)
	if err != nil {
		return f, err
	}
	k.linker.receivedBytes.Add(int64(len(body) + framer.HeaderBytes))
	if err := framer.Decode(body, &f); err != nil {
		return f, err
	}
	return f, f.Check()
}

// read handles frames until the connection ends.
func (k *link) read() error {
	for {
		f, err := k.readFrame()
		if err != nil {
			return err
		}
		k.handleFrame(f)
	}
}

func (k *link) handleFrame(f savoryloft.LinkFrame) {
	l := k.linker
	if len(f.Members) > 0 {
		l.mu.Lock()
		l.addMembers(f.Members, k)
		l.mu.Unlock()
	}
	if len(f.Records) > 0 {
		l.Source.ApplyRecords(k.peer.Instance, f.Records)
	}
	if f.Duties != nil {
		l.Source.LearnDuties(*f.Duties)
	}
	if f.Suspicions != nil {
		l.Source.MergeSuspicions(k.peer.Instance, *f.Suspicions)
	}
	if f.Limits != nil {
		l.Source.HandleLimits(k.peer.Instance, *f.Limits)
	}
	if f.Origins != nil {
		k.handleOrigins(*f.Origins)
	}
	if len(f.Begun) > 0 {
		l.Source.MergeBegun(f.Begun)
		k.relayToHubs(savoryloft.LinkFrame{Begun: f.Begun})
	}
	if len(f.Detours) > 0 {
		l.Source.MergeDetours(f.Detours)
	}
	if f.Update != nil {
		k.handleUpdate(f.Update)
	}
	if f.Status != nil {
		if f.Registry != nil {
			k.registry = f.Registry
		}
		k.handleStatus(f.Status, k.registry)
	}
}
