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
	hubUpdatePause  = 120 * time.Millisecond // The same where one frame tells of many instances.
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

// update returns what changed since the last frame with loads. Updates that
// follow each other closely are taken together.
func (k *link) update(ctx context.Context) *savoryloft.LoadUpdate {
	pause := meshUpdatePause
	if !k.linker.InMesh() {
		pause = hubUpdatePause
	}
	savoryloft.Sleep(ctx, pause)
	loads, _ := k.linker.loadsFor(k)
	return &savoryloft.LoadUpdate{Loads: k.changedLoads(loads), Parts: k.takeParts()}
}

// changedLoads returns the loads that the peer does not know yet.
func (k *link) changedLoads(loads map[string]savoryloft.LinkLoad) []savoryloft.LinkLoad {
	var changed []savoryloft.LinkLoad
	for id, load := range loads {
		if k.loadsSent[id] != load {
			changed = append(changed, load)
		}
	}
	for id := range k.loadsSent {
		if _, ok := loads[id]; !ok {
			changed = append(changed, savoryloft.LinkLoad{Upstream: id})
		}
	}
	k.loadsSent = loads
	return changed
}

func (k *link) takeParts() []savoryloft.HeldPart {
	k.linker.mu.Lock()
	defer k.linker.mu.Unlock()
	parts := k.parts
	k.parts = nil
	return parts
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
	for {
		var f savoryloft.LinkFrame
		select {
		case <-ctx.Done():
			return
		case f = <-k.out:
		case <-k.urged:
			f = savoryloft.LinkFrame{Update: k.update(ctx)}
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
	loads, child := l.loadsFor(k)
	k.statuses++
	s.Child, s.Whole = child, k.statuses%wholeEvery == 1
	if s.Whole {
		k.loadsSent = nil
	}
	s.Loads, s.Parts = k.changedLoads(loads), k.takeParts()
	return s
}

// loadsFor returns the loads that a peer is told, by upstream, and whether this
// instance relies on the peer to pass them on.
func (l *Linker) loadsFor(k *link) (loads map[string]savoryloft.LinkLoad, child bool) {
	own := l.Source.Loads()
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.arrange(savoryloft.Uptime())
	sum := map[string]savoryloft.LinkLoad{}
	switch {
	case t.mesh:
	case !t.hub:
		child = t.primary == k.peer.Instance
		if !child {
			return sum, false
		}
	case k.child:
		sum = l.sumLoads(k)
	case t.hubs[k.peer.Instance]:
		l.addChildren(sum)
	default:
		return sum, false
	}
	for _, load := range own {
		addLoad(sum, load)
	}
	return sum, child
}

// addChildren adds the loads of the instances that rely on this one. The
// caller holds the lock.
func (l *Linker) addChildren(sum map[string]savoryloft.LinkLoad) {
	for _, k := range l.links {
		if !k.child {
			continue
		}
		for _, load := range k.loads {
			addLoad(sum, load)
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
		l.Source.TakeRecords(f.Records)
	}
	if f.Update != nil {
		k.takeUpdate(f.Update)
	}
	if f.Status != nil {
		k.takeStatus(f.Status)
	}
}

// takeLoads takes in loads that changed. The caller holds the linker's lock.
func (k *link) takeLoads(loads []savoryloft.LinkLoad) {
	for _, load := range loads {
		if load.Running == 0 && load.Prefill == 0 && load.Tokens == 0 {
			delete(k.loads, load.Upstream)
			continue
		}
		k.loads[load.Upstream] = load
	}
}

// takeNews takes in parts that engines hold and passes on what was not known.
func (k *link) takeNews(parts []savoryloft.HeldPart) {
	l := k.linker
	l.Source.LoadsChanged()
	if len(parts) == 0 {
		return
	}
	fresh := l.Source.TakeParts(parts)
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.arrange(savoryloft.Uptime()); t.hub && !t.mesh {
		l.spreadParts(fresh, k)
	}
}

func (k *link) takeUpdate(u *savoryloft.LoadUpdate) {
	l := k.linker
	l.mu.Lock()
	k.takeLoads(u.Loads)
	if t := l.arrange(savoryloft.Uptime()); t.hub && !t.mesh && len(u.Loads) > 0 {
		for _, other := range l.links {
			if other != k {
				other.urge()
			}
		}
	}
	l.mu.Unlock()
	k.takeNews(u.Parts)
}

func (k *link) takeStatus(s *savoryloft.LinkStatus) {
	k.mu.Lock()
	k.echo = s.Sequence
	asOf := k.sentAt[s.Echo]
	k.mu.Unlock()
	l := k.linker
	l.mu.Lock()
	if s.Whole {
		clear(k.loads)
	}
	k.takeLoads(s.Loads)
	k.child = s.Child
	k.hasOffset, k.wallAt = true, time.Now()
	k.offset = time.UnixMilli(int64(s.Wall)).Sub(k.wallAt.Round(0))
	if m := l.members[k.peer.Instance]; m != nil && m.greeting.Incarnation == k.peer.Incarnation {
		if m.leaving != s.Leaving || m.logLost != s.LogLost {
			l.topology.stale = true
		}
		m.logLost = s.LogLost
		m.heard, m.told, m.leaving, m.leading = savoryloft.Uptime(), true, s.Leaving, s.Leading
	}
	if asOf > 0 && s.LeaderAge >= 0 {
		l.leaderAt = max(l.leaderAt, asOf-time.Duration(s.LeaderAge)*time.Millisecond)
	}
	l.mu.Unlock()
	if len(s.Usage) > 0 {
		l.Source.TakeUsage(s.Usage)
	}
	k.takeNews(s.Parts)
	l.Source.TakeStatus(k.peer.Instance, s, asOf)
	k.resendIfBehind(s)
	if !k.dialer {
		k.wake()
	}
}

// resendIfBehind sends what a peer lacks: at the first status, and later if
// statuses in a row show that what was passed on has not arrived.
func (k *link) resendIfBehind(s *savoryloft.LinkStatus) {
	var mine savoryloft.LinkStatus
	k.linker.Source.FillStatus(&mine)
	if s.Version >= mine.Version && s.RegistryRead >= mine.RegistryOffset {
		k.behind = 0
		return
	}
	if k.behind++; k.behind < resendAfter && s.Sequence > 1 {
		return
	}
	k.behind = 0
	if records := k.linker.Source.RecordsSince(s.Version, s.RegistryRead); len(records) > 0 {
		k.send(savoryloft.LinkFrame{Records: records})
	}
}

// wallShift returns by how much this instance's time of day was stepped since
// the offset was taken.
func (k *link) wallShift() time.Duration {
	now := time.Now()
	return now.Sub(k.wallAt) - now.Round(0).Sub(k.wallAt.Round(0))
}
