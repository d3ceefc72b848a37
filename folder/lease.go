package folder

import "savoryloft.example/savoryloft"

func unheldLease() savoryloft.LeaseState {
	return savoryloft.LeaseState{Claim: -1, Last: -1}
}

// applyClaim grants the lease if no instance holds it or if the claimant had
// read the holder's last record. A renewal that precedes the claim in the log
// therefore invalidates the claim.
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
		s.Lease = unheldLease()
	}
}

// applyIntent stores an order intent of the current lease holder. An intent under
// an older claim is ignored; its sender detects this when it reads the intent
// back from the log.
func (s *State) applyIntent(offset int, i savoryloft.OrderIntent) {
	if i.Claim != s.Lease.Claim {
		return
	}
	s.Lease.Last = offset
	s.Intents[i.Order.ID] = i
}

// applyClose closes a usage window. A close is ignored unless it starts where the
// last closed window ended, so the first close of a window in log order wins.
func (s *State) applyClose(c savoryloft.WindowClose) {
	if s.Closed != nil && (c.Window <= s.Closed.Window || c.From != s.Closed.UpTo) {
		return
	}
	s.Closed = &c
	s.Unsent = append(s.Unsent, c)
}

// applySent removes a reported window from s.Unsent.
func (s *State) applySent(sent savoryloft.WindowSent) {
	for i := range s.Unsent {
		if s.Unsent[i].Window == sent.Window {
			s.Unsent = append(s.Unsent[:i:i], s.Unsent[i+1:]...)
			return
		}
	}
}
