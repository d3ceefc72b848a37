package provisioner

import (
	"math"
	"slices"
	"time"

	"savoryloft.example/savoryloft"
)

const (
	// sparePerDomain is the number of spare upstreams per failure domain in the
	// initial size, to absorb bursts and the loss of a domain.
	sparePerDomain = 1.5
	// spareSlots adds to the spare where upstreams have few slots, since these absorb
	// little of a burst: that many divided by the slots, as a share of the upstreams.
	spareSlots = 3.0
	// Upstreams are added above scaleUpLoad running requests per upstream. Engines
	// accept many more requests, but process prompts one at a time.
	scaleUpLoad      = 10.0
	scaleUpShare     = 0.35        // Limits scaleUpLoad to a share of an upstream's slots, since requests spread unevenly.
	minScaleUpStep   = 0.25        // Of the size; each order moves prompts to other upstreams, and a burst needs few orders.
	riseTimeConstant = time.Second // Smoothing of increasing load; bursts last a few seconds.
	// fallTimeConstant smooths decreasing load; it is longer than the waves in daily
	// traffic. It is also the minimum time between reductions.
	fallTimeConstant = 25 * time.Second
	idleOnDemand     = 1 // Maximum of on-demand upstreams in a failure domain before the first request.
	minPerDomain     = 2 // Upstreams per failure domain at which the size is no longer reduced.
)

// UpstreamCounts holds the numbers of upstreams by kind.
type UpstreamCounts struct {
	OnDemand    int // Upstreams that the platform does not reclaim.
	Reclaimable int
}

func (n UpstreamCounts) sum() int { return n.OnDemand + n.Reclaimable }

// DomainState is the state of one failure domain of a service.
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

// Plan distributes total upstreams evenly over the failure domains and returns
// the desired counts of each domain, in the order of domains. The share of a
// domain is rounded up and limited to s.Min and s.Max. If the service allows
// reclaimable upstreams, the whole share is ordered as reclaimable. Domains that lack
// capacity for reclaimable upstreams also get on-demand ones, as far as the spare
// upstreams do not make up for what is missing, and at least half of their share if
// they are more than half of the domains. They are not limited to what the load needs
// now, since another domain may be reclaimed while the platform takes no orders.
// noRequests reports that the service has not had a request yet.
func Plan(s savoryloft.ScalingTraits, total int, domains []DomainState, noRequests bool) []UpstreamCounts {
	plan := make([]UpstreamCounts, len(domains))
	share := clamp(ceilDiv(total, len(domains)), s.Min, s.Max)
	withoutCapacity, missing := 0, 0
	for _, d := range domains {
		if d.NoCapacity {
			withoutCapacity++
			missing += max(share-d.Current.Reclaimable, 0)
		}
	}
	excess := max(missing-spareUpstreams(len(domains)), 0)
	for i, d := range domains {
		switch {
		case s.ReclaimablePriceRatio <= 0:
			plan[i].OnDemand = share
		default:
			// On-demand upstreams are kept until reclaimable ones have replaced them.
			// Their number is limited by Max and, before the first request, by
			// idleOnDemand.
			lacking := max(share-d.Current.Reclaimable, 0)
			limit := min(lacking, s.Max-share)
			if noRequests {
				limit = min(limit, idleOnDemand)
			}
			onDemand := min(d.Current.OnDemand, limit)
			if d.NoCapacity && 2*withoutCapacity > len(domains) {
				onDemand = max(onDemand, ceilDiv(share, 2))
			}
			if d.NoCapacity && missing > 0 {
				onDemand = max(onDemand, min(ceilDiv(excess*lacking, missing), limit))
			}
			plan[i] = UpstreamCounts{Reclaimable: share, OnDemand: onDemand}
		}
	}
	return plan
}

// spareUpstreams returns the number of spare upstreams in the initial size.
func spareUpstreams(domains int) int { return int(math.Ceil(sparePerDomain * float64(domains))) }

// clamp limits n to the range from lower to upper.
func clamp(n, lower, upper int) int { return max(min(n, upper), lower) }

// ceilDiv returns a/b rounded up, for a >= 0 and b > 0.
func ceilDiv(a, b int) int { return (a + b - 1) / b }

// sizer determines the number of upstreams of a service from its load. Times are
// uptimes, see savoryloft.Uptime.
type sizer struct {
	averageRunning   float64       // Exponential moving average of running requests; rises faster than it falls.
	averagePrefill   float64       // The same of the prefill time, in units of backlogLimit.
	memory           float64       // Upstreams whose caches hold the prompts in use.
	history          loadHistory   // Of averageRunning.
	observedAt       time.Duration // Time of the last observation.
	firstObservedAt  time.Duration // Time of the first observation.
	hadRequests      bool          // At least one observation had running requests.
	requestsSince    time.Duration // Time of the first such observation.
	scaledDownAt     time.Duration // Time of the last reduction, or of the first observation.
	registered       int           // Last number of registered upstreams while no size is stored.
	registeredSince  time.Duration // Time at which registered last changed.
	registrationTime time.Duration // Time that upstreams have to register before the initial size is set.
	slots            int           // Of an upstream; 0 if unknown.
	memoryTokens     int           // Of an upstream; 0 if unknown.
	bootTime         time.Duration // Of upstreams.
}

// scaleUpLoad returns the number of running requests per upstream above which
// upstreams are added.
func (s *sizer) scaleUpLoad() float64 {
	if s.slots == 0 {
		return scaleUpLoad
	}
	return min(scaleUpLoad, scaleUpShare*float64(s.slots))
}

// observe updates the averages with a load.
func (s *sizer) observe(now time.Duration, load ServiceLoad) {
	running, prefill := float64(load.Running), float64(load.PrefillTime)/float64(backlogLimit)
	if s.observedAt == 0 {
		s.observedAt, s.firstObservedAt, s.scaledDownAt = now, now, now
		s.averageRunning, s.averagePrefill = running, prefill
	}
	elapsed := now - s.observedAt
	s.observedAt = now
	if load.Running > 0 && !s.hadRequests {
		s.hadRequests, s.requestsSince = true, now
	}
	s.averageRunning = smooth(s.averageRunning, running, elapsed, riseTimeConstant)
	s.averagePrefill = smooth(s.averagePrefill, prefill, elapsed, max(s.bootTime, riseTimeConstant))
	s.history.add(now, s.averageRunning)
	if s.memoryTokens > 0 {
		s.memory = float64(load.PromptTokens) / (cacheShare * float64(s.memoryTokens))
	}
}

// smooth returns an average after a new value, which it follows faster up than down. rise
// is the time constant of the way up.
func smooth(average, value float64, elapsed, rise time.Duration) float64 {
	timeConstant := fallTimeConstant
	if value > average {
		timeConstant = rise
	}
	return average + (value-average)*(1-math.Exp(-float64(elapsed)/float64(timeConstant)))
}

// forecast returns what the observations tell about the load.
func (s *sizer) forecast() Forecast {
	return Forecast{
		Running: s.averageRunning, Expected: s.history.expected(s.bootTime), Peak: s.history.peak(s.observedAt),
		Backlog: s.averagePrefill, Memory: s.memory, FleetLoad: s.scaleUpLoad(),
		Complete: s.hadRequests && s.observedAt-s.requestsSince > waveWindow,
	}
}

// desired returns the number of upstreams for the observed load. The target is the
// size that this or an earlier lease holder stored. If it is 0, the initial
// size is the number of registered upstreams plus spares, and desired returns 0
// until upstreams have had time to register.
func (s *sizer) desired(fleet Fleet) int {
	registered, domains := fleet.Registered, fleet.Domains
	if fleet.Target == 0 {
		if registered != s.registered {
			s.registered, s.registeredSince = registered, s.observedAt
		}
		if registered == 0 || s.observedAt-s.firstObservedAt < s.registrationTime || s.observedAt-s.registeredSince < s.registrationTime/2 {
			return 0
		}
		return roundUp(registered+s.initialSpare(registered, domains), domains)
	}
	size := Resize(s.forecast(), fleet, s.observedAt-s.scaledDownAt > fallTimeConstant)
	if size < fleet.Target {
		s.scaledDownAt = s.observedAt
	}
	return size
}

// initialSpare returns the number of spare upstreams that are ordered beside the
// registered ones.
func (s *sizer) initialSpare(registered, domains int) int {
	spare := spareUpstreams(domains)
	if s.slots > 0 {
		spare = max(spare, int(spareSlots*float64(registered)/float64(s.slots)))
	}
	return spare
}

// roundUp rounds n up to a multiple of step.
func roundUp(n, step int) int { return ceilDiv(n, step) * step }

// sortedDomains returns the sorted names of the failure domains for which the
// service has a price.
func sortedDomains(s savoryloft.ScalingTraits) []string {
	names := make([]string, 0, len(s.Prices))
	for n := range s.Prices {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
