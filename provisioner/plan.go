package provisioner

import (
	"math"
	"slices"
	"time"

	"savoryloft.example/savoryloft"
)

const (
	// sparePerDomain is the number of upstreams per failure domain that the initial
	// size adds to the registered ones, to absorb bursts and the loss of a domain.
	sparePerDomain = 1.5
	// scaleUpLoad is the number of running requests per upstream above which
	// upstreams are added. scaleDownLoad is the number below which they are
	// removed. Engines accept many more requests, but prompts are processed one
	// after the other. Between the two limits the size stays the same, since a
	// change loses cached prompts.
	scaleUpLoad      = 10.0
	scaleDownLoad    = 2.0
	riseTimeConstant = 2 * time.Second  // Smoothing of increasing load; bursts last a few seconds.
	fallTimeConstant = 25 * time.Second // Smoothing of decreasing load; longer than the waves in daily traffic.
	idleOnDemand     = 1                // On-demand upstreams that each failure domain keeps before the first request.
	minPerDomain     = 2                // Upstreams that each failure domain keeps at any load.
)

// UpstreamCounts holds the numbers of upstreams by kind.
type UpstreamCounts struct {
	OnDemand    int // Upstreams that the platform does not reclaim.
	Reclaimable int
}

func (n UpstreamCounts) sum() int { return n.OnDemand + n.Reclaimable }

// DomainState is the state of one failure domain, as input for Plan.
type DomainState struct {
	Name       string
	Current    UpstreamCounts // Registered upstreams that are not draining.
	NoCapacity bool           // The last order for reclaimable upstreams was refused for lack of capacity.
}

// countUpstreams counts the upstreams of a failure domain that are not draining.
func countUpstreams(upstreams []savoryloft.RegisteredUpstream, domain string) UpstreamCounts {
	var n UpstreamCounts
	for _, u := range upstreams {
		switch {
		case u.FailureDomain != domain || u.Draining:
		case u.Reclaimable:
			n.Reclaimable++
		default:
			n.OnDemand++
		}
	}
	return n
}

// Plan returns the number of upstreams for each failure domain so that all
// domains together have about total. It relies on reclaimable upstreams unless
// more than half of the domains lack capacity for them; the spare upstreams
// compensate for fewer. noRequests is set before the first request.
func Plan(s savoryloft.ScalingTraits, total int, domains []DomainState, noRequests bool) []UpstreamCounts {
	plan := make([]UpstreamCounts, len(domains))
	withoutCapacity := 0
	for _, d := range domains {
		if d.NoCapacity {
			withoutCapacity++
		}
	}
	for i, d := range domains {
		share := clamp(ceilDiv(total, len(domains)), s.Min, s.Max)
		switch {
		case s.ReclaimablePart <= 0:
			plan[i].OnDemand = share
		case d.NoCapacity && 2*withoutCapacity > len(domains):
			plan[i] = UpstreamCounts{Reclaimable: share, OnDemand: ceilDiv(share, 2)}
		default:
			// On-demand upstreams stay until reclaimable ones have replaced them. Their
			// number is limited by Max and, before the first request, by idleOnDemand.
			missing := clamp(share-d.Current.Reclaimable, 0, s.Max-share)
			if noRequests {
				missing = min(missing, idleOnDemand)
			}
			plan[i] = UpstreamCounts{Reclaimable: share, OnDemand: min(d.Current.OnDemand, missing)}
		}
	}
	return plan
}

func clamp(n, least, most int) int { return max(min(n, most), least) }

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// sizer determines the number of upstreams of a service from its running
// requests. Times are uptimes, see savoryloft.Uptime.
type sizer struct {
	meanRunning      float64       // Running requests, smoothed; rises fast and falls slowly.
	observedAt       time.Duration // Time of the last observation.
	firstObservedAt  time.Duration // Time of the first observation.
	sawRequests      bool          // At least one observation had running requests.
	scaledDownAt     time.Duration // Time of the last reduction, or of the first observation.
	registered       int           // Registered upstreams, before the first decision.
	registeredSince  time.Duration // Time at which registered last changed.
	registrationTime time.Duration // Wait for upstreams to register before the first decision.
}

// observe updates the smoothed load with the number of running requests.
func (z *sizer) observe(now time.Duration, running int) {
	if z.observedAt == 0 {
		z.observedAt, z.firstObservedAt, z.scaledDownAt, z.meanRunning = now, now, now, float64(running)
	}
	elapsed := now - z.observedAt
	z.observedAt = now
	if running > 0 {
		z.sawRequests = true
	}
	tau := fallTimeConstant
	if float64(running) > z.meanRunning {
		tau = riseTimeConstant
	}
	z.meanRunning += (float64(running) - z.meanRunning) * (1 - math.Exp(-float64(elapsed)/float64(tau)))
}

// desired returns the number of upstreams for the observed load. It adjusts
// target, the size that this or an earlier holder of the lease stored. When
// target is 0, it starts from the registered upstreams, and returns 0 until
// they have had time to register. The result is a multiple of domains, the number
// of failure domains, if target is.
func (z *sizer) desired(registered, domains, target int) int {
	if target == 0 {
		if registered != z.registered {
			z.registered, z.registeredSince = registered, z.observedAt
		}
		if registered == 0 || z.observedAt-z.firstObservedAt < z.registrationTime || z.observedAt-z.registeredSince < z.registrationTime/2 {
			return 0
		}
		return roundUp(registered+int(math.Ceil(sparePerDomain*float64(domains))), domains)
	}
	switch perUpstream := z.meanRunning / float64(target); {
	case perUpstream > scaleUpLoad:
		return roundUp(int(math.Ceil(z.meanRunning/scaleUpLoad)), domains)
	case z.sawRequests && perUpstream < scaleDownLoad && target > minPerDomain*domains && z.observedAt-z.scaledDownAt > fallTimeConstant:
		z.scaledDownAt = z.observedAt
		return target - domains
	}
	return target
}

// roundUp returns n, rounded up to a multiple of step.
func roundUp(n, step int) int { return ceilDiv(n, step) * step }

// sortedDomains returns the names of a service's failure domains, sorted.
func sortedDomains(s savoryloft.ScalingTraits) []string {
	names := make([]string, 0, len(s.Prices))
	for n := range s.Prices {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
