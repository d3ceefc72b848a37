package linker

import (
	"hash/fnv"
	"math"
	"time"

	"savoryloft.example/savoryloft"
)

const (
	arrangeEvery  = 200 * time.Millisecond // Between looks at who lives; far below what makes a member count as gone.
	meshLimit     = 16                     // Most members that all link to each other.
	pruneAfter    = 2 * time.Second        // For which neither side wants a link before it ends.
	hubsPerDomain = 2
	readers       = 2 // Instances that read the log for all.
)

// topology is who links to whom, worked out from the live members. It is kept
// for a while, since it depends on all members.
type topology struct {
	at       time.Duration // Uptime at which it was worked out; 0 when never.
	stale    bool
	mesh     bool
	hub      bool            // This instance is a hub.
	hubs     map[string]bool // Other instances that are hubs.
	primary  string          // Linked hub that passes this instance's loads on; empty at a hub.
	position int             // Live hubs that precede this instance and can read the log.
}

// arrange works the topology out anew when it is due. The caller holds the lock.
func (l *Linker) arrange(now time.Duration) *topology {
	t := &l.topology
	if t.at != 0 && !t.stale && now-t.at < arrangeEvery {
		return t
	}
	*t = topology{at: now, mesh: len(l.members) < meshLimit, hubs: map[string]bool{}}
	own := place(l.Instance, l.Power)
	t.hub = t.mesh || l.ahead(l.Instance, own, l.FailureDomain, now) < hubsPerDomain
	for name, m := range l.members {
		domain := m.greeting.FailureDomain
		if t.mesh || m.present(now) && l.ahead(name, m.order, domain, now) < hubsPerDomain {
			t.hubs[name] = true
		}
	}
	for name := range t.hubs {
		m := l.members[name]
		if m.live(now) && !m.leaving && !m.logLost && before(m.order, name, own, l.Instance) {
			t.position++
		}
	}
	if !t.hub {
		t.position = math.MaxInt
		t.primary = l.firstLinkedHub(t)
	}
	return t
}

// ahead returns how many present members of a failure domain precede one.
func (l *Linker) ahead(name string, order uint64, domain string, now time.Duration) int {
	n := 0
	if name != l.Instance && domain == l.FailureDomain && before(place(l.Instance, l.Power), l.Instance, order, name) {
		n++
	}
	for other, m := range l.members {
		if other != name && m.greeting.FailureDomain == domain && m.present(now) && before(m.order, other, order, name) {
			n++
		}
	}
	return n
}

// firstLinkedHub returns the first linked hub of this instance's failure domain.
func (l *Linker) firstLinkedHub(t *topology) string {
	first := ""
	for name, k := range l.links {
		if !t.hubs[name] || k.peer.FailureDomain != l.FailureDomain {
			continue
		}
		if first == "" || before(uint64(hash(name)), name, uint64(hash(first)), first) {
			first = name
		}
	}
	return first
}

// wants tells whether this instance should dial a member. When both want the
// link, the one with the smaller name dials. The caller holds the lock.
func (l *Linker) wants(name string, m *member, now time.Duration) bool {
	t := l.arrange(now)
	mine, theirs := l.wanted(t, name, m.greeting.FailureDomain)
	return mine && (!theirs || l.Instance < name || now-m.known > silenceLimit)
}

// wanted tells whether this instance, and whether the peer wants a link between
// them.
func (l *Linker) wanted(t *topology, name, domain string) (mine, theirs bool) {
	mine = t.mesh || t.hubs[name] && (t.hub || domain == l.FailureDomain)
	theirs = t.mesh || t.hub && (t.hubs[name] || domain == l.FailureDomain)
	return mine, theirs
}

// prune ends links that neither side wants any more, such as those from the
// time when the deployment was small. The caller holds the lock.
func (l *Linker) prune(now time.Duration) {
	t := l.arrange(now)
	for name, k := range l.links {
		mine, theirs := l.wanted(t, name, k.peer.FailureDomain)
		switch {
		case mine || theirs:
			k.unwantedAt = 0
		case k.unwantedAt == 0:
			k.unwantedAt = now
		case now-k.unwantedAt > pruneAfter:
			k.cancel()
		}
	}
}

// IsHub tells whether this instance is a hub now.
func (l *Linker) IsHub() bool {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrange(savoryloft.Uptime()).hub
}

// IsReader tells whether this instance reads the log for all. Readers are the
// first by hash of the live hubs that can.
func (l *Linker) IsReader() bool { return l.Position() < readers }

// Position returns how many live hubs that can read the log precede this
// instance by hash; 0 is first.
func (l *Linker) Position() int {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrange(savoryloft.Uptime()).position
}

// place returns an instance's place in the order by which hubs and readers are
// chosen: those that may use the most processor time come first, since a hub
// works for its whole failure domain, and among them the hash of the name
// decides.
func place(name string, power int) uint64 {
	const mostPower = 1 << 30 // Thousandths of a core; far above any instance.
	return uint64(mostPower-min(max(power, 0), mostPower))<<32 | uint64(hash(name))
}

// before orders instances by their places.
func before(orderA uint64, a string, orderB uint64, b string) bool {
	return orderA < orderB || orderA == orderB && a < b
}

func hash(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	// FNV's last bytes hardly reach the high bits; multiply once more.
	return h.Sum32() * 0x9E3779B1
}
