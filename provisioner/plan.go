package provisioner

import "savoryloft.example/savoryloft"

const (
	firmPerDomain        = 1 // Keeps a failure domain serving while its reclaimable upstreams are gone.
	reclaimablePerDomain = 4
)

// Numbers counts upstreams of a service in a failure domain by kind.
type Numbers struct {
	Firm        int // Upstreams that are not reclaimed.
	Reclaimable int
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

// Plan returns how many upstreams a failure domain should have, given what it
// has and whether reclaimable ones are refused at the moment.
func Plan(s savoryloft.ScalingTraits, have Numbers, refused bool) Numbers {
	if s.ReclaimablePart <= 0 {
		return Numbers{Firm: clamp(firmPerDomain+reclaimablePerDomain, s.Min, s.Max)}
	}
	firm := clamp(firmPerDomain, 0, s.Max)
	reclaimable := clamp(reclaimablePerDomain, s.Min-firm, s.Max-firm)
	if have.Reclaimable < reclaimable && !refused {
		// The others stay until the cheaper ones serve.
		room := s.Max - reclaimable
		firm = clamp(have.Firm, firm, max(room, firm))
	}
	return Numbers{Firm: firm, Reclaimable: reclaimable}
}

func clamp(n, least, most int) int { return max(min(n, most), least) }
