package linker

import (
	"hash/fnv"
	"math"
	"time"

	"savoryloft.example/savoryloft"
)

const (
	topologyMaxAge      = 200 * time.Millisecond // Lifetime of a cached topology; far below liveTimeout.
	maxMeshInstances    = 16                     // Largest deployment, in instances, that is a full mesh.
	unneededLinkTimeout = 2 * time.Second        // A link that neither side needs for this long is closed.
	hubsPerDomain       = 2
	readerCount         = 2 // Instances that read the log for the others.
)

// topology determines which instances are linked. It is computed from the known
// members and cached, because the computation compares all of them.
type topology struct {
	at         time.Duration // Uptime at which it was computed; 0 if never.
	stale      bool
	mesh       bool
	hub        bool            // Whether this instance is a hub.
	hubs       map[string]bool // Names of the other instances that are hubs.
	primary    string          // Linked hub that relays this instance's loads; empty at a hub.
	readerRank int             // Number of live hubs that can read the log and precede this instance; math.MaxInt if it is not a hub.
}

// currentTopology returns the cached topology, recomputing it when it is stale or
// too old. The caller holds the lock.
func (l *Linker) currentTopology(now time.Duration) *topology {
	t := &l.topology
	if t.at != 0 && !t.stale && now-t.at < topologyMaxAge {
		return t
	}
	size := max(len(l.members)+1, l.toldInstances(now))
	*t = topology{at: now, mesh: size <= maxMeshInstances, hubs: map[string]bool{}}
	own := ranked{name: l.Instance, order: hubOrder(l.Instance, l.CPUMillicores)}
	if t.mesh {
		t.hub = true
		for name := range l.members {
			t.hubs[name] = true
		}
	} else {
		for _, first := range l.firstCandidates(own, now) {
			for _, c := range first {
				if c.name == l.Instance {
					t.hub = true
				} else if c.name != "" {
					t.hubs[c.name] = true
				}
			}
		}
	}
	for name := range t.hubs {
		m := l.members[name]
		if m.isLive(now) && !m.leaving && !m.logUnreachable && (ranked{name, m.hubOrder, false}).precedes(own) {
			t.readerRank++
		}
	}
	if !t.hub {
		t.readerRank = math.MaxInt
		t.primary = l.firstLinkedHub(t)
	}
	return t
}

// ranked is an instance with its sort key for choosing hubs.
type ranked struct {
	name  string // Empty for no instance.
	order uint64
	stale bool // No candidate; chosen only in a failure domain without enough candidates.
}

// precedes reports whether an instance is to be preferred as a hub. An empty one
// precedes none.
func (r ranked) precedes(other ranked) bool {
	switch {
	case r.name == "" || other.name == "":
		return r.name != ""
	case r.stale != other.stale:
		return other.stale
	}
	return r.order < other.order || r.order == other.order && r.name < other.name
}

// firstCandidates returns the hubs of each failure domain. In a domain with too few
// candidates, members that have sent no status lately fill the places, so that
// hubs dial them again after a long partition. The caller holds the lock.
func (l *Linker) firstCandidates(own ranked, now time.Duration) map[string]*[hubsPerDomain]ranked {
	domains := map[string]*[hubsPerDomain]ranked{}
	add := func(domain string, r ranked) {
		first := domains[domain]
		if first == nil {
			first = &[hubsPerDomain]ranked{}
			domains[domain] = first
		}
		for i := range first {
			if r.precedes(first[i]) {
				first[i], r = r, first[i]
			}
		}
	}
	add(l.FailureDomain, own)
	for name, m := range l.members {
		if !m.leaving {
			add(m.greeting.FailureDomain, ranked{name, m.hubOrder, !m.isHubCandidate(now)})
		}
	}
	return domains
}

// firstLinkedHub returns the linked hub of this instance's failure domain whose
// name has the lowest hash, or "" if there is none. The caller holds the lock.
func (l *Linker) firstLinkedHub(t *topology) string {
	first := ""
	for name, k := range l.links {
		if !t.hubs[name] || k.peer.FailureDomain != l.FailureDomain {
			continue
		}
		if first == "" || hash(name) < hash(first) || hash(name) == hash(first) && name < first {
			first = name
		}
	}
	return first
}

// shouldDial reports whether this instance should dial a member. When both sides
// need the link, the instance with the smaller name dials first; the other one
// dials too once the member has been known for linkTimeout. The caller holds the
// lock.
func (l *Linker) shouldDial(name string, m *member, now time.Duration) bool {
	t := l.currentTopology(now)
	needed, neededByPeer := l.linkNeeded(t, name, m.greeting.FailureDomain)
	return needed && (!neededByPeer || l.Instance < name || now-m.addedAt > linkTimeout)
}

// linkNeeded reports whether this instance and whether the peer needs a link
// between them. The caller holds the lock.
func (l *Linker) linkNeeded(t *topology, name, domain string) (needed, neededByPeer bool) {
	needed = t.mesh || t.hubs[name] && (t.hub || domain == l.FailureDomain)
	neededByPeer = t.mesh || t.hub && (t.hubs[name] || domain == l.FailureDomain)
	return needed, neededByPeer
}

// pruneLinks closes links that neither side needs any more, such as mesh links
// after the deployment has outgrown a mesh. The caller holds the lock.
func (l *Linker) pruneLinks(now time.Duration) {
	t := l.currentTopology(now)
	for name, k := range l.links {
		needed, neededByPeer := l.linkNeeded(t, name, k.peer.FailureDomain)
		switch {
		case needed || neededByPeer:
			k.unneededSince = 0
		case k.unneededSince == 0:
			k.unneededSince = now
		case now-k.unneededSince > unneededLinkTimeout:
			k.cancel()
		}
	}
}

// IsHub reports whether this instance is currently a hub. In a mesh every
// instance is one.
func (l *Linker) IsHub() bool {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentTopology(savoryloft.Uptime()).hub
}

// isHub reports whether another instance is currently a hub.
func (l *Linker) isHub(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentTopology(savoryloft.Uptime()).hubs[name]
}

// IsReader reports whether this instance reads the log for the others. The readers
// are the first live hubs that can read the log.
func (l *Linker) IsReader() bool { return l.ReaderRank() < readerCount }

// ReadersFail reports whether this instance has a link to a live hub, and all live
// hubs that it has links to say that they cannot read the log.
func (l *Linker) ReadersFail() bool {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := savoryloft.Uptime()
	t := l.currentTopology(now)
	failing := false
	for name := range l.links {
		m := l.members[name]
		if !t.hubs[name] || m == nil || !m.isLive(now) {
			continue
		}
		if !m.logUnreachable {
			return false
		}
		failing = true
	}
	return failing
}

// ReaderRank returns the rank of this instance among the live hubs that can read the
// log, starting at 0. It returns math.MaxInt if this instance is not a hub.
func (l *Linker) ReaderRank() int {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentTopology(savoryloft.Uptime()).readerRank
}

// hubOrder returns the sort key by which hubs and readers are chosen. Instances
// with a higher CPU limit in millicores sort first, because a hub does work for
// its whole failure domain; ties are broken by the hash of the name.
func hubOrder(name string, millicores int) uint64 {
	const maxMillicores = 1 << 30 // Far above the limit of any instance.
	return uint64(maxMillicores-min(max(millicores, 0), maxMillicores))<<32 | uint64(hash(name))
}

func hash(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	// The last bytes hashed by FNV barely affect the high bits, so multiply again.
	return h.Sum32() * 0x9E3779B1
}
