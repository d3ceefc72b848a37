package linker

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/framer"
)

const (
	maxQueued   = 256                  // Frames waiting on one link; a peer that lags further is dropped.
	keptSending = 64                   // Times of sent statuses that are kept; echoes are far younger.
	updatePause = 5 * time.Millisecond // Before an update, to take several changes together.
	resendAfter = 3                    // Statuses in a row that show a peer behind before all records are sent again.
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
	sentAt   map[int]time.Duration

	// The linker's lock guards these.
	loads     []savoryloft.LinkLoad
	child     bool
	hasOffset bool
	offset    time.Duration // Peer's time of day less this instance's.
	wallAt    time.Time     // When offset was taken, with its monotonic reading.
	behind    int
	parts     []savoryloft.HeldPart // Not told to the peer yet.

	usageSent map[savoryloft.UsageCount]int // Only the writer uses it.
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
	others := make([]savoryloft.LinkGreeting, 0, len(l.members))
	for _, m := range l.members {
		if m.greeting.Instance != k.peer.Instance {
			others = append(others, m.greeting)
		}
	}
	if len(others) > 0 {
		k.send(savoryloft.LinkFrame{Members: others})
	}
	if records := l.Source.Records(); len(records) > 0 {
		k.send(savoryloft.LinkFrame{Records: records})
	}
	return true
}

// drop forgets a link that has ended.
func (l *Linker) drop(k *link, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[k.peer.Instance] == k {
		delete(l.links, k.peer.Instance)
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

// update returns what changed since the last frame with loads. Updates that
// follow each other closely are taken together.
func (k *link) update() *savoryloft.LoadUpdate {
	time.Sleep(updatePause)
	loads, _ := k.linker.loadsFor(k)
	return &savoryloft.LoadUpdate{Loads: loads, Parts: k.takeParts()}
}

func (k *link) takeParts() []savoryloft.HeldPart {
	k.linker.mu.Lock()
	defer k.linker.mu.Unlock()
	parts := k.parts
	k.parts = nil
	return parts
}

// write sends queued frames, updates, and a status at each interval.
func (k *link) write(ctx context.Context) {
	t := time.NewTicker(k.linker.Interval)
	defer t.Stop()
	for {
		var f savoryloft.LinkFrame
		select {
		case <-ctx.Done():
			return
		case f = <-k.out:
		case <-k.urged:
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

// status returns the next status for the peer.
func (k *link) status() *savoryloft.LinkStatus {
	s := &savoryloft.LinkStatus{}
	k.mu.Lock()
	k.sequence++
	s.Sequence, s.Echo = k.sequence, k.echo
	k.sentAt[k.sequence] = savoryloft.Uptime()
	delete(k.sentAt, k.sequence-keptSending)
	k.mu.Unlock()
	l := k.linker
	l.Source.FillStatus(s)
	// In a mesh each instance tells its own counts; a new peer gets all.
	s.Usage = l.Source.UsageSince(k.usageSent, s.Sequence == 1 || !l.InMesh())
	s.Loads, s.Child = l.loadsFor(k)
	return s
}

// loadsFor returns the loads that a peer is told, and whether this instance
// relies on the peer to pass them on.
func (l *Linker) loadsFor(k *link) (loads []savoryloft.LinkLoad, child bool) {
	own := l.Source.Loads()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := savoryloft.Uptime()
	if len(l.members) < meshLimit {
		return own, false
	}
	if !l.isHub(l.Instance, l.FailureDomain, now) {
		if l.primaryHub(now) == k.peer.Instance {
			return own, true
		}
		return nil, false
	}
	sum := map[string]savoryloft.LinkLoad{}
	peerIsHub := l.isHub(k.peer.Instance, k.peer.FailureDomain, now)
	switch {
	case k.child:
		sum = l.sumLoads(k)
	case peerIsHub:
		for _, other := range l.links {
			if other.child {
				for _, load := range other.loads {
					addLoad(sum, load)
				}
			}
		}
	default:
		return nil, false
	}
	for _, load := range own {
		addLoad(sum, load)
	}
	for _, load := range sum {
		loads = append(loads, load)
	}
	return loads, false
}

// primaryHub returns the first linked hub of this instance's failure domain.
// The caller holds the lock.
func (l *Linker) primaryHub(now time.Duration) string {
	var names []string
	for name, k := range l.links {
		if k.peer.FailureDomain == l.FailureDomain && l.isHub(name, l.FailureDomain, now) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int {
		if before(a, b) {
			return -1
		}
		return 1
	})
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
		l.Source.TakeRecords(f.Records)
	}
	if f.Update != nil {
		k.takeUpdate(f.Update)
	}
	if f.Status != nil {
		k.takeStatus(f.Status)
	}
}

func (k *link) takeUpdate(u *savoryloft.LoadUpdate) {
	l := k.linker
	l.mu.Lock()
	k.loads = u.Loads
	l.mu.Unlock()
	l.Source.LoadsChanged()
	fresh := l.Source.TakeParts(u.Parts)
	if len(fresh) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.members) < meshLimit {
		return // Each peer has told all others.
	}
	l.spreadParts(fresh, k)
	for _, other := range l.links {
		if other != k {
			other.urge()
		}
	}
}

func (k *link) takeStatus(s *savoryloft.LinkStatus) {
	k.mu.Lock()
	k.echo = s.Sequence
	asOf := k.sentAt[s.Echo]
	k.mu.Unlock()
	l := k.linker
	l.mu.Lock()
	k.loads, k.child = s.Loads, s.Child
	k.hasOffset, k.wallAt = true, time.Now()
	k.offset = time.UnixMilli(int64(s.Wall)).Sub(k.wallAt.Round(0))
	if m := l.members[k.peer.Instance]; m != nil && m.greeting.Incarnation == k.peer.Incarnation {
		m.heard, m.told, m.leaving, m.leading = savoryloft.Uptime(), true, s.Leaving, s.Leading
	}
	l.mu.Unlock()
	if len(s.Usage) > 0 {
		l.Source.TakeUsage(s.Usage)
	}
	l.Source.LoadsChanged()
	l.Source.TakeStatus(k.peer.Instance, s, asOf)
	k.resendIfBehind(s)
}

// resendIfBehind sends all records to a peer that keeps showing older ones.
func (k *link) resendIfBehind(s *savoryloft.LinkStatus) {
	var mine savoryloft.LinkStatus
	k.linker.Source.FillStatus(&mine)
	if s.Version >= mine.Version && s.RegistryRead >= mine.RegistryOffset {
		k.behind = 0
		return
	}
	if k.behind++; k.behind >= resendAfter {
		k.behind = 0
		k.send(savoryloft.LinkFrame{Records: k.linker.Source.Records()})
	}
}

// wallShift returns by how much this instance's time of day was stepped since
// the offset was taken.
func (k *link) wallShift() time.Duration {
	now := time.Now()
	return now.Sub(k.wallAt) - now.Round(0).Sub(k.wallAt.Round(0))
}
