package server

import (
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/monitor"
)

const gateRetryAfter = 2 * time.Second

// gate returns an error while no request may be admitted: before the first
// configuration is known, and when it may be out of date.
func (s *Server) gate() error {
	if s.follower.Config() == nil {
		return s.refuse("NotReady", "no configuration is known yet")
	}
	limit := s.Settings.Peers.StaleLimit.Std()
	if s.follower.SinceConfirmed() <= limit || s.gossiper.OutageIsTotal() || s.gossiper.SinceTotalOutage() <= limit {
		return nil
	}
	return s.refuse("StaleConfiguration", "the configuration may be out of date")
}

func (s *Server) refuse(code, message string) error {
	return &savoryloft.Error{
		Step: savoryloft.StepReceive, StatusCode: 503, Code: code, Message: message,
		Run: savoryloft.RunNotRun, RetryAfter: gateRetryAfter,
	}
}

// ready returns why the balancer should send no requests here, or nil.
func (s *Server) ready() error {
	if s.stopping.Load() {
		return errors.New("stopping")
	}
	if err := s.gate(); err != nil {
		return err
	}
	if mine, highest := s.follower.Offset(), s.gossiper.HighestOffset(); mine < highest {
		return errors.Errorf("control stream read up to offset %d, a peer has %d", mine, highest)
	}
	return nil
}

func (s *Server) monitor() *monitor.Monitor {
	return &monitor.Monitor{Ready: s.ready, Status: s.status, LookupNote: s.follower.Verdict, Metrics: s.metrics}
}

func (s *Server) status() monitor.Status {
	hash, offset := s.follower.Hash()
	_, _, held := s.elector.Held()
	sent, received := s.gossiper.Bytes()
	st := monitor.Status{
		Instance: s.Settings.Instance, FailureDomain: s.Settings.FailureDomain, Incarnation: s.incarnation,
		Offset: offset, Hash: hash, ConfirmedAgo: savoryloft.Duration(s.follower.SinceConfirmed()),
		LeaseHolder: s.elector.Lease().Instance, HoldsLease: held,
		Members: s.gossiper.Members(), PeerBytesSent: sent, PeerBytesRead: received,
	}
	if err := s.ready(); err != nil {
		st.NotReadyReason = err.Error()
	}
	st.Ready = st.NotReadyReason == ""
	if v := s.follower.View(); v != nil {
		st.UnsentWindows = len(v.Unsent)
		if v.Closed != nil {
			st.LastWindow = v.Closed.Window
		}
	}
	st.Pools = s.poolStatus()
	return st
}

func (s *Server) poolStatus() []monitor.PoolStatus {
	var list []monitor.PoolStatus
	for _, name := range s.admitter.Pools() {
		p := s.admitter.Pool(name)
		running := p.Running()
		ps := monitor.PoolStatus{Name: name, Waiting: p.Waiting(), Running: running[:]}
		for _, u := range p.Upstreams() {
			ps.Upstreams = append(ps.Upstreams, monitor.UpstreamStatus{
				Name: u.Name, FailureDomain: u.FailureDomain,
				InFlight: u.InFlight(), Allowance: u.Allowance(), Limit: u.Limit(),
			})
		}
		list = append(list, ps)
	}
	return list
}
