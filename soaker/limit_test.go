package soaker

import (
	"slices"
	"strconv"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/platform/standin"
)

const (
	limitWindow   = 4 * time.Second
	limitExcess   = 1.5                     // Of what a limit allows in limitWindow.
	limitSlack    = 5                       // Requests beyond that.
	limitTold     = 1500 * time.Millisecond // After the first response with a limit, until all instances know it.
	excusedPeriod = 3 * time.Second         // After a signal or a restart, in which an instance's requests do not count.
)

// limitPeriod is a time in which an engine names a limit.
type limitPeriod struct {
	engine    *standin.Engine
	process   *standin.Process
	perSecond float64
	from, to  time.Time
}

// span is a period of time.
type span struct{ from, to time.Time }

func (p span) includes(at time.Time) bool { return !at.Before(p.from) && at.Before(p.to) }

// limit makes an engine name a limit for a time, unless it does already. At times it
// changes the limit in between, or names a malformed one.
func (s *soakRun) limit(i int, length time.Duration) {
	limits := []float64{0.5, 1, 3}
	s.mu.Lock()
	busy := s.limited[i] || s.releasing[i]
	s.limited[i] = s.limited[i] || !busy
	e := s.engines[i]
	s.mu.Unlock()
	if busy {
		return
	}
	for range 1 + s.randomInt(2) {
		p := limitPeriod{engine: e, process: s.processes[i], perSecond: limits[s.randomInt(len(limits))], from: time.Now()}
		e.SetLimit(strconv.FormatFloat(p.perSecond, 'f', -1, 64))
		time.Sleep(length)
		p.to = time.Now()
		s.mu.Lock()
		s.limitPeriods = append(s.limitPeriods, p)
		s.mu.Unlock()
	}
	e.SetLimit("a few")
	time.Sleep(time.Second)
	e.SetLimit("")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limited[i] = false
}

// excuse makes the requests of an instance not count until excusedPeriod after a time.
func (n *instance) excuse(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.excused = append(n.excused, span{time.Now(), until.Add(excusedPeriod)})
}

// checkLimits requires that engines got no more requests than the limits that they
// named, from the instances that were not disturbed.
func (s *soakRun) checkLimits() {
	for _, p := range s.limitPeriods {
		crashes := p.process.Crashes()
		var times []time.Time
		told := time.Time{}
		for _, r := range p.engine.Requests() {
			if r.At.Before(p.from) || r.At.After(p.to) {
				continue
			}
			if told.IsZero() {
				told = r.At.Add(limitTold)
			}
			restarted := slices.ContainsFunc(crashes, func(at time.Time) bool { return span{at, at.Add(excusedPeriod)}.includes(r.At) })
			if r.At.Before(told) || restarted || s.isExcused(r.ID, r.At) {
				continue
			}
			times = append(times, r.At)
		}
		most := mostInWindow(times)
		s.t.Logf("limit %v of %s for %s: at most %d requests in %s", p.perSecond, p.engine.ID, p.to.Sub(p.from).Round(time.Millisecond), most, limitWindow)
		require.LessOrEqual(s.t, float64(most), limitExcess*p.perSecond*limitWindow.Seconds()+limitSlack, "requests to %s within limit %v", p.engine.ID, p.perSecond)
	}
}

// isExcused reports whether the instance that got a request from its caller was
// disturbed at a time, or runs a build that may not know limits.
func (s *soakRun) isExcused(id string, at time.Time) bool {
	r := s.requests[id]
	return r == nil || r.instance.other || slices.ContainsFunc(r.instance.excused, func(p span) bool { return p.includes(at) })
}

// mostInWindow returns the largest number of times within limitWindow.
func mostInWindow(times []time.Time) (most int) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i := range times {
		for times[i].Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
