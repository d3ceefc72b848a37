package server

import (
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/monitor"
)

const notServingRetryAfter = 2 * time.Second

// checkServing returns an error while requests must be rejected: before the
// first configuration is loaded, and when the configuration may be out of date.
// A configuration that was not confirmed within StaleLimit is still current if
// the log is unavailable to all instances, or was until less than StaleLimit ago,
// since no newer one can have been published meanwhile.
func (s *Server) checkServing() error {
	if s.follower.Config() == nil {
		return s.unavailable("NotReady", "no configuration is known yet")
	}
	limit := s.Settings.Peers.StaleLimit.Std()
	if s.follower.SinceConfirmed() <= limit || s.gossiper.OutageIsTotal() || s.gossiper.SinceTotalOutage() <= limit {
		return nil
	}
	return s.unavailable("StaleConfiguration", "the configuration may be out of date")
}

func (s *Server) unavailable(code, message string) error {
	return &savoryloft.Error{
		Step: savoryloft.StepReceive, StatusCode: 503, Code: code, Message: message,
		Run: savoryloft.RunNotRun, RetryAfter: notServingRetryAfter,
	}
}

// checkReady returns the reason why the load balancer should send no requests
// to this instance, or nil.
func (s *Server) checkReady() error {
	if s.stopping.Load() {
		return errors.New("stopping")
	}
	if err := s.checkServing(); err != nil {
		return err
	}
	if own, highest := s.follower.Offset(), s.gossiper.HighestOffset(); own < highest {
		return errors.Errorf("control stream read up to offset %d, a peer has %d", own, highest)
	}
	return nil
}

func (s *Server) monitor() *monitor.Monitor {
	return &monitor.Monitor{Ready: s.checkReady, Status: s.status, LookupNote: s.follower.Verdict, Metrics: s.metrics}
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
	if err := s.checkReady(); err != nil {
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
