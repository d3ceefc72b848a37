package folder

import "savoryloft.example/savoryloft"

func noLease() savoryloft.LeaseState {
	return savoryloft.LeaseState{Claim: -1, Last: -1}
}

// applyClaim grants the lease when nobody holds it, or when the claimant had
// seen the holder's last record. A renewal that got into the log first voids
// the claim.
func (s *State) applyClaim(offset int, c savoryloft.LeaseClaim) {
	if s.Lease.Claim >= 0 && c.Saw < s.Lease.Last {
		return
	}
	s.Lease = savoryloft.LeaseState{
		Claim:       offset,
		Last:        offset,
		Instance:    c.Instance,
		Incarnation: c.Incarnation,
		TTL:         c.TTL,
	}
}

func (s *State) applyRenewal(offset int, r savoryloft.LeaseRenewal) {
	if r.Claim == s.Lease.Claim {
		s.Lease.Last = offset
	}
}

func (s *State) applyRelease(r savoryloft.LeaseRelease) {
	if r.Claim == s.Lease.Claim {
		s.Lease = noLease()
	}
}

// applyIntent keeps an order intent of the present holder. An intent under an
// older claim is void, and its sender sees so when it reads the log back.
func (s *State) applyIntent(offset int, i savoryloft.OrderIntent) {
	if i.Claim != s.Lease.Claim {
		return
	}
	s.Lease.Last = offset
	s.Intents[i.Order.ID] = i
}

// applyClose fixes a window. It counts only when it continues the last closed
// window, so the first close in log order stands.
func (s *State) applyClose(c savoryloft.WindowClose) {
	if s.Closed != nil && (c.Window <= s.Closed.Window || c.From != s.Closed.UpTo) {
		return
	}
	s.Closed = &c
	s.Unsent = append(s.Unsent, c)
}

func (s *State) applySent(sent savoryloft.WindowSent) {
	for i := range s.Unsent {
		if s.Unsent[i].Window == sent.Window {
			s.Unsent = append(s.Unsent[:i:i], s.Unsent[i+1:]...)
			return
		}
	}
}
