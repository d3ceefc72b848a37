package provisioner

import (
	"math"
	"slices"
	"time"

	"savoryloft.example/savoryloft"
)

const (
	// spareOfDomain is the number of upstreams in each failure domain beyond those
	// found at first, so that a domain's loss and a burst find room.
	spareOfDomain = 1.5
	// crowded is the number of running requests for each upstream from which more
	// are ordered, and sparse the number below which fewer are. Engines take many
	// more at once, but then a prompt waits for the prompts before it; between the
	// two nothing is ordered, since a change costs caches.
	crowded      = 10.0
	sparse       = 2.0
	riseTime     = 2 * time.Second  // Smoothing of a load that grows; a burst lasts some seconds.
	fallTime     = 25 * time.Second // Smoothing of a load that falls; longer than the waves of a day's traffic.
	keptWhenIdle = 1                // Upstreams of the dear kind that stay in each failure domain before the first request.
	leastSpare   = 2                // Upstreams of each failure domain that are kept however small the load is.
)

// Numbers counts upstreams of a service in a failure domain by kind.
type Numbers struct {
	Firm        int // Upstreams that are not reclaimed.
	Reclaimable int
}

func (n Numbers) sum() int { return n.Firm + n.Reclaimable }

// Domain is what a plan depends on in one failure domain.
type Domain struct {
	Name    string
	Have    Numbers // Registered and not leaving.
	Refused bool    // Reclaimable upstreams are not to be had at the moment.
}

func countUpstreams(upstreams []savoryloft.RegisteredUpstream, domain string) Numbers {
	var n Numbers
	for _, u := range upstreams {
		switch {
		case u.FailureDomain != domain || u.Draining:
		case u.Reclaimable:
			n.Reclaimable++
		default:
			n.Firm++
		}
	}
	return n
}

// Plan returns how many upstreams each failure domain should have for total
// upstreams together. Reclaimable ones serve as long as they are to be had in
// most failure domains; the loss of one is what the spare ones are for. idle
// tells that no request has been seen yet.
func Plan(s savoryloft.ScalingTraits, total int, domains []Domain, idle bool) []Numbers {
	plan := make([]Numbers, len(domains))
	refusing := 0
	for _, d := range domains {
		if d.Refused {
			refusing++
		}
	}
	for i, d := range domains {
		share := clamp(ceilDiv(total, len(domains)), s.Min, s.Max)
		switch {
		case s.ReclaimablePart <= 0:
			plan[i].Firm = share
		case d.Refused && 2*refusing > len(domains):
			plan[i] = Numbers{Reclaimable: share, Firm: ceilDiv(share, 2)}
		default:
			// The others stay until the cheaper ones serve, as far as there is room
			// and requests for them.
			missing := clamp(share-d.Have.Reclaimable, 0, s.Max-share)
			if idle {
				missing = min(missing, keptWhenIdle)
			}
			plan[i] = Numbers{Reclaimable: share, Firm: min(d.Have.Firm, missing)}
		}
	}
	return plan
}

func clamp(n, least, most int) int { return max(min(n, most), least) }

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// sizer works out how many upstreams a service should have from how many
// requests run.
type sizer struct {
	running  float64 // Smoothed; it grows fast and falls slowly.
	at       time.Duration
	since    time.Duration // Uptime of the first observation.
	seen     bool          // Requests have run.
	shrunkAt time.Duration
	have     int // Registered upstreams before the first decision, and since when.
	haveAt   time.Duration
	settle   time.Duration // Time for upstreams to register before the first decision.
}

// observe takes in the number of running requests.
func (z *sizer) observe(now time.Duration, running int) {
	if z.at == 0 {
		z.at, z.since, z.shrunkAt, z.running = now, now, now, float64(running)
	}
	elapsed := now - z.at
	z.at = now
	if running > 0 {
		z.seen = true
	}
	tau := fallTime
	if float64(running) > z.running {
		tau = riseTime
	}
	z.running += (float64(running) - z.running) * (1 - math.Exp(-float64(elapsed)/float64(tau)))
}

// want returns the number of upstreams for the load seen; 0 while there is
// nothing to go by. It starts from the number that was fixed before, by this or
// an earlier holder of the lease, or from what is registered. The result is a
// multiple of the number of failure domains.
func (z *sizer) want(have, domains, fixed int) int {
	if fixed == 0 {
		if have != z.have {
			z.have, z.haveAt = have, z.at
		}
		if have == 0 || z.at-z.since < z.settle || z.at-z.haveAt < z.settle/2 {
			return 0
		}
		return roundUp(have+int(math.Ceil(spareOfDomain*float64(domains))), domains)
	}
	switch perUpstream := z.running / float64(fixed); {
	case perUpstream > crowded:
		return roundUp(int(math.Ceil(z.running/crowded)), domains)
	case z.seen && perUpstream < sparse && fixed > leastSpare*domains && z.at-z.shrunkAt > fallTime:
		z.shrunkAt = z.at
		return fixed - domains
	}
	return fixed
}

func roundUp(n, step int) int { return ceilDiv(n, step) * step }

// sortedDomains returns the failure domains of a service in order.
func sortedDomains(s savoryloft.ScalingTraits) []string {
	names := make([]string, 0, len(s.Prices))
	for n := range s.Prices {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
