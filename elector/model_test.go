package elector

import (
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/folder"
)

// The model checker explores every order of appends, reads and clock ticks of a
// few instances up to a depth. The records of an instance are appended to the
// log in the order sent, at any later time or never. An instance without
// events for some ticks models one that is paused or partitioned. The instances
// run the real stateMachine, and package folder decides which of them holds the
// lease.
const (
	modelTTL   = 3 * time.Second
	modelDrift = time.Second
	modelTick  = time.Second
)

type modelInstance struct {
	state     stateMachine
	readCount int                 // Records of the log read.
	inFlight  []savoryloft.Record // Sent and not in the log, in the order sent.
}

type model struct {
	now       time.Time
	log       []savoryloft.Record
	leases    []savoryloft.LeaseState // Lease after each record.
	instances []modelInstance
}

// fault is a defect injected into the protocol to check that the model detects
// it.
type fault struct {
	deadlineFromRead bool // The lease time starts when a record is read back, not before it is sent.
	ignoreRenewals   bool // A claim is accepted in spite of renewals that the claimant has not read.
	claimAtOnce      bool // A claim is sent without waiting for the TTL and the drift allowance.
}

func newModel(instances int) *model {
	m := &model{now: time.Unix(0, 0).Add(time.Hour)}
	for i := range instances {
		m.instances = append(m.instances, modelInstance{state: stateMachine{
			instance: fmt.Sprint("i", i), ttl: modelTTL, drift: modelDrift, synced: true,
			lease: savoryloft.LeaseState{Claim: -1, Last: -1}, leaseChangedAt: m.now,
		}})
	}
	return m
}

func (m *model) clone() *model {
	c := *m
	c.log = append([]savoryloft.Record(nil), m.log...)
	c.leases = append([]savoryloft.LeaseState(nil), m.leases...)
	c.instances = append([]modelInstance(nil), m.instances...)
	for i := range c.instances {
		c.instances[i].state.pending = maps.Clone(m.instances[i].state.pending)
		c.instances[i].inFlight = append([]savoryloft.Record(nil), m.instances[i].inFlight...)
	}
	return &c
}

// key identifies a state. It contains ages instead of times, so states that
// differ only by a shift of the clock have the same key.
func (m *model) key() string {
	b := make([]byte, 0, 256)
	putInt := func(n int) { b = append(strconv.AppendInt(b, int64(n), 36), ' ') }
	putAge := func(t time.Time) { putInt(int(min(m.now.Sub(t), 10*time.Second) / time.Second)) }
	for _, i := range m.instances {
		putInt(i.readCount)
		putInt(i.state.lease.Claim)
		putInt(i.state.lease.Last)
		putAge(i.state.leaseChangedAt)
		putAge(i.state.deadline)
		putAge(i.state.sentAt)
		for _, r := range i.inFlight {
			b = append(b, r.ID...)
			putAge(i.state.pending[r.ID])
		}
		b = append(b, '|')
		for n := i.readCount; n < len(m.log); n++ {
			if t, ok := i.state.pending[m.log[n].ID]; ok {
				putInt(n)
				putAge(t)
			}
		}
	}
	for _, r := range m.log {
		b = append(b, r.ID...)
	}
	return string(b)
}

// foldInput is a lease and the record to apply to it.
type foldInput struct {
	lease  savoryloft.LeaseState
	offset int
	data   string
}

// foldCache holds the lease after each input, since the same inputs recur in
// many states.
var foldCache = map[foldInput]savoryloft.LeaseState{}

// commit appends the oldest in-flight record of instance i to the log.
func (m *model) commit(i int) {
	inst := &m.instances[i]
	r := inst.inFlight[0]
	inst.inFlight = inst.inFlight[1:]
	state := folder.New()
	if len(m.leases) > 0 {
		state.Offset = len(m.log) - 1
		state.Lease = m.leases[len(m.leases)-1]
	}
	data, _ := json.Marshal(r)
	input := foldInput{state.Lease, len(m.log), string(data)}
	lease, ok := foldCache[input]
	if !ok {
		state.Apply(len(m.log), data)
		lease = state.Lease
		foldCache[input] = lease
	}
	m.log = append(m.log, r)
	m.leases = append(m.leases, lease)
}

// readNext delivers the next record of the log to instance i.
func (m *model) readNext(i int, f fault) {
	inst := &m.instances[i]
	r := m.log[inst.readCount]
	if _, ok := inst.state.pending[r.ID]; ok && f.deadlineFromRead {
		inst.state.pending[r.ID] = m.now
	}
	inst.state.observe(m.now, &r, m.leases[inst.readCount])
	inst.readCount++
}

// send sends the next claim or renewal of instance i. It returns false when none
// is due.
func (m *model) send(i int, f fault) bool {
	inst := &m.instances[i]
	if f.claimAtOnce {
		inst.state.drift = -modelTTL - time.Nanosecond
	}
	r, due := inst.state.next(m.now, 0)
	if !due {
		return false
	}
	if r.Claim != nil && f.ignoreRenewals {
		r.Claim.Saw = 1 << 30
	}
	inst.inFlight = append(inst.inFlight, r)
	return true
}

// successors returns the states that are one event away from m.
func (m *model) successors(f fault) []*model {
	var list []*model
	tick := m.clone()
	tick.now = tick.now.Add(modelTick)
	list = append(list, tick)
	for i := range m.instances {
		if m.instances[i].readCount < len(m.log) {
			c := m.clone()
			c.readNext(i, f)
			list = append(list, c)
		}
		if len(m.instances[i].inFlight) > 0 {
			c := m.clone()
			c.commit(i)
			list = append(list, c)
		}
		if len(m.instances[i].inFlight) < 2 {
			c := m.clone()
			if c.send(i, f) {
				list = append(list, c)
			}
		}
	}
	return list
}

// holders returns the number of instances that may act as the holder.
func (m *model) holders() int {
	n := 0
	for i := range m.instances {
		if _, ok := m.instances[i].state.held(m.now); ok {
			n++
		}
	}
	return n
}

// explore returns the number of states seen, the largest number of holders in
// any of them, and whether the holder changed in at least one. It stops at the
// first state with two holders.
func explore(instances, depth int, f fault) (states, maxHolders int, changed bool) {
	seen := map[string]bool{}
	frontier := []*model{newModel(instances)}
	for range depth {
		var next []*model
		for _, m := range frontier {
			for _, s := range m.successors(f) {
				k := s.key()
				if seen[k] {
					continue
				}
				seen[k] = true
				if maxHolders = max(maxHolders, s.holders()); maxHolders > 1 {
					return len(seen), maxHolders, changed
				}
				changed = changed || holderChanged(s.leases)
				next = append(next, s)
			}
		}
		frontier = next
	}
	return len(seen), maxHolders, changed
}

func holderChanged(leases []savoryloft.LeaseState) bool {
	first := ""
	for _, l := range leases {
		if l.Claim >= 0 && first == "" {
			first = l.Instance
		}
		if l.Claim >= 0 && l.Instance != first {
			return true
		}
	}
	return false
}

func TestModelNeverHasTwoHolders(t *testing.T) {
	tests := []struct {
		name             string
		instances, depth int
	}{
		{"two instances", 2, 12},
		{"three instances", 3, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			states, maxHolders, changed := explore(tt.instances, tt.depth, fault{})
			t.Logf("%d states explored to depth %d", states, tt.depth)
			require.Equal(t, 1, maxHolders)
			require.True(t, changed || tt.instances > 2, "the depth must reach a change of holder")
		})
	}
}

// Guards against a model that could not find a violation: with each injected
// fault, the same exploration must find two holders.
func TestModelDetectsInjectedFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault fault
	}{
		{"lease time starts at the read", fault{deadlineFromRead: true}},
		{"claim ignores renewals", fault{ignoreRenewals: true}},
		{"claim without waiting", fault{claimAtOnce: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			states, maxHolders, _ := explore(2, 12, tt.fault)
			t.Logf("%d states explored", states)
			require.Greater(t, maxHolders, 1)
		})
	}
}
