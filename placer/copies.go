package placer

import "time"

// A part that upstreams of one failure domain hold only is lost with that domain. One that
// is asked for often gets a copy in another domain: the next request for it is sent there
// and fetches it.
const (
	hotUses      = 3                      // Requests of this instance for a part within hotPeriod that make it worth a copy.
	hotPeriod    = 20 * time.Second       // See hotUses.
	copyBonusMs  = 60.0                   // By which an upstream in another failure domain costs less; more than a usual fetch, less than a queue.
	copyInterval = 200 * time.Millisecond // Between copies of all instances.
	copyPeriod   = 30 * time.Second       // Between copies of one part; the first one may have been evicted.
)

// partUse counts this instance's requests for a shared part.
type partUse struct {
	since    time.Time // Start of the period of count.
	count    int
	lastUsed time.Time
	copiedAt time.Time
}

// countUse records that a request for the parts is sent, and that it makes a copy.
func (p *Placer) countUse(now time.Time, r Request, c Choice) {
	shared := r.sharedParts()
	if transferRate(r.Engine) == 0 || len(shared) == 0 {
		return
	}
	if p.uses == nil {
		p.uses = map[string]partUse{}
	}
	id := shared[len(shared)-1].ID
	use := p.uses[id]
	if now.Sub(use.since) > hotPeriod {
		use.since, use.count = now, 0
	}
	use.count++
	use.lastUsed = now
	if c.Copies {
		use.copiedAt, p.copiedAt = now, now
	}
	p.uses[id] = use
}

// soleDomain returns the failure domain whose upstreams alone have cached the shared parts of
// a prompt, if a copy in another one is due. Upstreams that leave do not count.
func (p *Placer) soleDomain(f *prefix) string {
	shared := f.request.sharedParts()
	use := p.uses[shared[len(shared)-1].ID]
	if use.count < hotUses || f.now.Sub(use.since) > hotPeriod || f.now.Sub(use.copiedAt) < copyPeriod ||
		f.now.Sub(p.copiedAt) < copyInterval*time.Duration(max(p.instances, 1)) {
		return ""
	}
	domain := ""
	for _, s := range p.candidates {
		if s.prefixTokens < f.sharedTokens {
			continue
		}
		if domain != "" && s.upstream.FailureDomain != domain {
			return ""
		}
		domain = s.upstream.FailureDomain
	}
	return domain
}

// pruneUses deletes the counts of parts that have not been used for a while.
func (p *Placer) pruneUses(now time.Time) {
	for id, use := range p.uses {
		if now.Sub(use.lastUsed) > max(hotPeriod, copyPeriod) {
			delete(p.uses, id)
		}
	}
}
