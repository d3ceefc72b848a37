package relayer

import (
	"slices"

	"savoryloft.example/savoryloft"
)

// withinRegions returns the upstreams that are in a region to which the request is allowed
// to go. A failure domain whose region is not known is in none.
func (x *exchange) withinRegions(upstreams []savoryloft.RegisteredUpstream) []savoryloft.RegisteredUpstream {
	outside := func(u savoryloft.RegisteredUpstream) bool {
		region := x.relayer.Regions[u.FailureDomain]
		return !allows(x.route.Regions, region) || !allows(x.identity.Regions, region)
	}
	if !slices.ContainsFunc(upstreams, outside) {
		return upstreams
	}
	return slices.DeleteFunc(slices.Clone(upstreams), outside)
}

// allows reports whether a list of regions, which allows all if it is empty, contains a
// region.
func allows(regions []string, region string) bool {
	return len(regions) == 0 || region != "" && slices.Contains(regions, region)
}
