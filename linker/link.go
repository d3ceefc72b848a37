package linker

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/framer"
)

const (
	maxQueued       = 256                    // Frames waiting on one link; a peer that lags further is dropped.
	keptSending     = 64                     // Times of sent statuses that are kept; echoes are far younger.
	meshUpdatePause = 5 * time.Millisecond   // Before an update, to take several changes together.
	hubUpdatePause  = 200 * time.Millisecond // The same where one frame tells of many instances.
	totalEvery      = 50 * time.Millisecond  // Between sums of all peers' loads at a hub.
	wholeEvery      = 8                      // Each so many statuses, all loads are told.
	resendAfter     = 3                      // Statuses in a row that show a peer behind before all records are sent again.
)

// link is one connection to a peer.
type link struct {
	linker *Linker
	conn   net.Conn
	reader *bufio.Reader
	peer   savoryloft.LinkGreeting
	dialer bool // This instance dialled.
	out    chan savoryloft.LinkFrame
	nudge  chan struct{}
	urged  chan struct{}
	cancel context.CancelFunc

	mu       sync.Mutex
	sequence int
	echo     int
	echoAt   time.Duration // Uptime at which the status that echo names was received.
	sentAt   map[int]time.Duration

	// The linker's lock guards these.
	loads      map[string]savoryloft.LinkLoad // Told by the peer, by upstream.
	child      bool
	hasOffset  bool
	offset     time.Duration // Peer's time of day less this instance's.
	wallAt     time.Time     // When offset was taken, with its monotonic reading.
	behind     int
	unwantedAt time.Duration         // Uptime since which neither side wants the link; 0 when one does.
	parts      []savoryloft.HeldPart // Not told to the peer yet.

	// Only the writer uses these.
	usageSent map[savoryloft.UsageCount]int
	loadsSent map[string]savoryloft.LinkLoad
	statuses  int
}

// keep runs one connection until it ends.
func (l *Linker) keep(ctx context.Context, conn net.Conn, dialer bool) {
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	k := &link{
		linker: l, conn: conn, reader: bufio.NewReader(conn), dialer: dialer, cancel: cancel,
		out: make(chan savoryloft.LinkFrame, maxQueued), nudge: make(chan struct{}, 1),
		urged:  make(chan struct{}, 1),
		sentAt: map[int]time.Duration{}, usageSent: map[savoryloft.UsageCount]int{},
		loads: map[string]savoryloft.LinkLoad{}, loadsSent: map[string]savoryloft.LinkLoad{},
	}
	if err := k.greet(); err != nil {
		l.Logger.V(1).Info("link not set up", "step", savoryloft.StepPeer, "peer", conn.RemoteAddr().String(), "error", err.Error())
		return
	}
	if !l.adopt(k) {
		return
	}
	l.Logger.Info("link up", "step", savoryloft.StepPeer, "peer", k.peer.Instance, "incarnation", k.peer.Incarnation, "dialled", dialer)
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.write(ctx)
		cancel()
	}()
	err := k.read()
	cancel()
	<-done
	l.drop(k, err)
}

// greet exchanges greetings.
func (k *link) greet() error {
	g := k.linker.greeting()
	if err := k.writeFrame(savoryloft.LinkFrame{Greeting: &g}); err != nil {
		return err
	}
	f, err := k.readFrame()
	if err != nil {
		return err
	}
	if f.Greeting == nil || f.Greeting.Instance == g.Instance {
		return errors.New("peer did not greet")
	}
	k.peer = *f.Greeting
	return nil
}

// adopt makes k the link to its peer. Of two links that cross, the one stays
// that the instance with the smaller name has dialled.
func (l *Linker) adopt(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.links[k.peer.Instance]; old != nil {
		sameBoot := old.peer.Incarnation == k.peer.Incarnation
		preferred := old.dialer == (l.Instance < k.peer.Instance)
		if sameBoot && preferred && old.dialer != k.dialer {
			return false
		}
		old.cancel()
	}
	l.addMembers([]savoryloft.LinkGreeting{k.peer}, k)
	if m := l.members[k.peer.Instance]; m != nil {
		m.heard = savoryloft.Uptime()
	}
	l.links[k.peer.Instance] = k
	l.topology.stale = true
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

// drop forgets a link that has ended.
func (l *Linker) drop(k *link, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[k.peer.Instance] == k {
		delete(l.links, k.peer.Instance)
		l.topology.stale = true
	}
	reason := "closed"
	if err != nil {
		reason = err.Error()
	}
	l.Logger.Info("link down", "step", savoryloft.StepPeer, "peer", k.peer.Instance, "reason", reason)
}

// send queues a frame without waiting. A link whose queue is full ends.
func (k *link) send(f savoryloft.LinkFrame) {
	select {
	case k.out <- f:
	default:
		k.cancel()
	}
}

// wake makes the writer send a status now.
func (k *link) wake() {
	select {
	case k.nudge <- struct{}{}:
	default:
	}
}

// urge makes the writer send an update soon.
func (k *link) urge() {
	select {
	case k.urged <- struct{}{}:
	default:
	}
}

// write sends queued frames, updates and statuses. The side that dialled sends
// a status at each interval, and the other side answers each at once: an age
// that is counted from an answered status is as young as can be.
func (k *link) write(ctx context.Context) {
	interval := k.linker.Interval
	if !k.dialer {
		interval = silenceLimit
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	var update <-chan time.Time // When to send the update that is due; nil when none is.
	for {
		var f savoryloft.LinkFrame
		select {
		case <-ctx.Done():
			return
		case f = <-k.out:
		case <-k.urged:
			if update == nil {
				update = time.After(k.updatePause())
			}
			continue
		case <-update:
			update = nil
			f = savoryloft.LinkFrame{Update: k.update()}
		case <-k.nudge:
			f = savoryloft.LinkFrame{Status: k.status()}
		case <-t.C:
			f = savoryloft.LinkFrame{Status: k.status()}
		}
		if k.writeFrame(f) != nil {
			return
		}
	}
}

func (k *link) writeFrame(f savoryloft.LinkFrame) error {
	data, err := framer.Encode(&f)
	if err != nil {
		return errors.Annotate(err, "encode frame")
	}
	_ = k.conn.SetWriteDeadline(time.Now().Add(silenceLimit))
	n, err := k.conn.Write(data)
	k.linker.sent.Add(int64(n))
	return err
}

func (k *link) readFrame() (savoryloft.LinkFrame, error) {
	var f savoryloft.LinkFrame
	_ = k.conn.SetReadDeadline(time.Now().Add(silenceLimit))
	body, err := framer.ReadBody(k.reader)
	if err != nil {
		return f, err
	}
	k.linker.received.Add(int64(len(body) + framer.HeaderBytes))
	if err := framer.Decode(body, &f); err != nil {
		return f, err
	}
	return f, f.Check()
}

// read takes in frames until the connection ends.
func (k *link) read() error {
	for {
		f, err := k.readFrame()
		if err != nil {
			return err
		}
		k.take(f)
	}
}

func (k *link) take(f savoryloft.LinkFrame) {
	l := k.linker
	if len(f.Members) > 0 {
		l.mu.Lock()
		l.addMembers(f.Members, k)
		l.mu.Unlock()
	}
	if len(f.Records) > 0 {
		l.Source.TakeRecords(k.peer.Instance, f.Records)
	}
	if f.Update != nil {
		k.takeUpdate(f.Update)
	}
	if f.Status != nil {
		k.takeStatus(f.Status)
	}
}
