package linker

import (
	"cmp"
	"slices"

	"savoryloft.example/savoryloft"
)

const (
	prefillStep      = 100  // Unit of LinkLoad.Prefill on the wire, in tokens.
	tokensStep       = 1000 // Unit of LinkLoad.Tokens on the wire, in tokens.
	valuesPerLoad    = 4    // Values of one load in savoryloft.LoadChanges.
	maxChangedLoads  = 250  // Per frame between hubs and in a mesh; the largest changes are sent first.
	maxToldLoads     = 64   // Per frame from a hub to another instance; bounds the bytes that such an instance receives.
	runningMagnitude = 500  // Prompt tokens that weigh as much as one running request when changes are compared.
)

// loadSums holds sums of loads by upstream.
type loadSums map[string]savoryloft.LinkLoad

// replace changes a sum by the difference between two loads of one upstream.
func (s loadSums) replace(old, load savoryloft.LinkLoad) {
	sum := s[load.Upstream]
	sum.Upstream = load.Upstream
	sum.Running += load.Running - old.Running
	sum.Prefill += load.Prefill - old.Prefill
	sum.Tokens += load.Tokens - old.Tokens
	if sum.Running == 0 && sum.Prefill == 0 && sum.Tokens == 0 {
		delete(s, load.Upstream)
		return
	}
	s[load.Upstream] = sum
}

func (s loadSums) add(load savoryloft.LinkLoad) {
	s.replace(savoryloft.LinkLoad{}, load)
}

// without returns the sums minus loads, which must be part of them.
func (s loadSums) without(loads map[string]savoryloft.LinkLoad) loadSums {
	rest := make(loadSums, len(s))
	for id, sum := range s {
		part := loads[id]
		sum.Running -= part.Running
		sum.Prefill -= part.Prefill
		sum.Tokens -= part.Tokens
		if sum.Running > 0 || sum.Prefill > 0 || sum.Tokens > 0 {
			rest[id] = sum
		}
	}
	return rest
}

// loadEncoder encodes the loads that a peer is sent.
type loadEncoder struct {
	numbers map[string]int
	sent    map[string]savoryloft.LinkLoad // As last sent, in wire steps.
}

// reset makes the next changes hold all loads and start a new numbering.
func (e *loadEncoder) reset() {
	e.numbers, e.sent = map[string]int{}, map[string]savoryloft.LinkLoad{}
}

// changes returns the loads that differ from those last sent, or nil if none does.
// If there are more than limit, the rest follows with later calls.
func (e *loadEncoder) changes(loads loadSums, limit int) *savoryloft.LoadChanges {
	if e.numbers == nil {
		e.reset()
	}
	var changed []savoryloft.LinkLoad
	for id, load := range loads {
		if load = toSteps(load); e.sent[id] != load {
			changed = append(changed, load)
		}
	}
	for id := range e.sent {
		if _, ok := loads[id]; !ok {
			changed = append(changed, savoryloft.LinkLoad{Upstream: id})
		}
	}
	if len(changed) == 0 {
		return nil
	}
	if len(changed) > limit {
		slices.SortFunc(changed, func(a, b savoryloft.LinkLoad) int {
			return cmp.Compare(magnitude(b, e.sent[b.Upstream]), magnitude(a, e.sent[a.Upstream]))
		})
		changed = changed[:limit]
	}
	c := &savoryloft.LoadChanges{Values: make([]int, 0, valuesPerLoad*len(changed))}
	for _, load := range changed {
		number, ok := e.numbers[load.Upstream]
		if !ok {
			number = len(e.numbers)
			e.numbers[load.Upstream] = number
			c.Names = append(c.Names, load.Upstream)
		}
		c.Values = append(c.Values, number, load.Running, load.Prefill, load.Tokens)
		if isZero(load) {
			delete(e.sent, load.Upstream)
		} else {
			e.sent[load.Upstream] = load
		}
	}
	return c
}

// toSteps converts the token counts of a load to wire steps, rounded up.
func toSteps(load savoryloft.LinkLoad) savoryloft.LinkLoad {
	load.Prefill = (load.Prefill + prefillStep - 1) / prefillStep
	load.Tokens = (load.Tokens + tokensStep - 1) / tokensStep
	return load
}

func isZero(load savoryloft.LinkLoad) bool {
	return load.Running == 0 && load.Prefill == 0 && load.Tokens == 0
}

// magnitude returns how much two loads in wire steps differ, in prompt tokens.
func magnitude(a, b savoryloft.LinkLoad) int {
	return runningMagnitude*distance(a.Running, b.Running) + prefillStep*distance(a.Prefill, b.Prefill)
}

func distance(a, b int) int { return max(a, b) - min(a, b) }

// loadDecoder decodes the loads that a peer sends.
type loadDecoder struct {
	names []string // By number.
}

// decode returns the loads in c. It skips numbers without a name.
func (d *loadDecoder) decode(c *savoryloft.LoadChanges) []savoryloft.LinkLoad {
	if c == nil {
		return nil
	}
	d.names = append(d.names, c.Names...)
	loads := make([]savoryloft.LinkLoad, 0, len(c.Values)/valuesPerLoad)
	for v := range slices.Chunk(c.Values, valuesPerLoad) {
		if v[0] >= len(d.names) {
			continue
		}
		loads = append(loads, savoryloft.LinkLoad{
			Upstream: d.names[v[0]], Running: v[1], Prefill: v[2] * prefillStep, Tokens: v[3] * tokensStep,
		})
	}
	return loads
}

// ownLoads returns this instance's own loads by upstream.
func (l *Linker) ownLoads() loadSums {
	own := loadSums{}
	for _, load := range l.Source.Loads() {
		own.add(load)
	}
	return own
}

// changedLoads returns the changed loads to send to a peer, and whether this
// instance relies on the peer to relay them.
func (l *Linker) changedLoads(k *link) (changes *savoryloft.LoadChanges, child bool) {
	own := l.ownLoads()
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.currentTopology(savoryloft.Uptime())
	var relayed loadSums
	limit := maxChangedLoads
	switch {
	case t.mesh:
	case !t.hub:
		if child = t.primary == k.peer.Instance; !child {
			own = nil
		}
	case k.child:
		relayed, limit = l.totalLoads.without(k.loads), maxToldLoads
	case t.hubs[k.peer.Instance]:
		relayed = l.childLoads
	default:
		own = nil
	}
	for _, load := range relayed {
		own.add(load)
	}
	return k.encoder.changes(own, limit), child
}

// applyLoads stores loads received from the peer and updates the sums. whole is
// whether they replace all earlier ones. The caller holds the linker's lock.
func (k *link) applyLoads(loads []savoryloft.LinkLoad, whole bool) {
	if k.linker.links[k.peer.Instance] != k {
		return // Replaced by another link.
	}
	if whole {
		k.dropLoads()
	}
	for _, load := range loads {
		old := k.loads[load.Upstream]
		k.linker.totalLoads.replace(old, load)
		if k.child {
			k.linker.childLoads.replace(old, load)
		}
		if isZero(load) {
			delete(k.loads, load.Upstream)
			continue
		}
		k.loads[load.Upstream] = load
	}
}

// dropLoads removes the peer's loads from the sums. The caller holds the linker's
// lock.
func (k *link) dropLoads() {
	for _, load := range k.loads {
		gone := savoryloft.LinkLoad{Upstream: load.Upstream}
		k.linker.totalLoads.replace(load, gone)
		if k.child {
			k.linker.childLoads.replace(load, gone)
		}
	}
	clear(k.loads)
}

// setChild records whether the peer relies on this instance to relay its loads.
// The caller holds the linker's lock.
func (k *link) setChild(child bool) {
	if k.child == child || k.linker.links[k.peer.Instance] != k {
		return
	}
	k.child = child
	if child {
		k.linker.queueRecentParts(k)
	}
	for _, load := range k.loads {
		if child {
			k.linker.childLoads.add(load)
		} else {
			k.linker.childLoads.replace(load, savoryloft.LinkLoad{Upstream: load.Upstream})
		}
	}
}
