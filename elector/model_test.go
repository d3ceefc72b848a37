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

// The model explores every order of appends, reads and clock ticks of a few
// instances up to a depth. An append can land at any later time or never; an
// instance that takes no step for a while is one that was paused or cut off.
// What one instance decides is the real code of term; the log's verdicts are
// the real fold.
const (
	modelTTL   = 3 * time.Second
	modelDrift = time.Second
	modelTick  = time.Second
)

type modelInstance struct {
	term     term
	read     int // Records read.
	inFlight []savoryloft.Record
}

type model struct {
	now       time.Time
	log       []savoryloft.Record
	leases    []savoryloft.LeaseState // Lease after each record.
	instances []modelInstance
}

// fault breaks the protocol on purpose, to show that the model would notice.
type fault struct {
	countFromRead bool // Count the holder's time from the read instead of the send.
	ignoreSaw     bool // Claim without regard to renewals in between.
	noDrift       bool // Claim as soon as the holder's record has been read.
}

func newModel(instances int) *model {
	m := &model{now: time.Unix(0, 0).Add(time.Hour)}
	for i := range instances {
		m.instances = append(m.instances, modelInstance{term: term{
			instance: fmt.Sprint("i", i), ttl: modelTTL, drift: modelDrift, known: true,
			lease: savoryloft.LeaseState{Claim: -1, Last: -1}, leaseAt: m.now,
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
		c.instances[i].term.pending = maps.Clone(m.instances[i].term.pending)
		c.instances[i].inFlight = append([]savoryloft.Record(nil), m.instances[i].inFlight...)
	}
	return &c
}

// key identifies a state up to a shift of the clock.
func (m *model) key() string {
	b := make([]byte, 0, 256)
	num := func(n int) { b = append(strconv.AppendInt(b, int64(n), 36), ' ') }
	ago := func(t time.Time) { num(int(min(m.now.Sub(t), 10*time.Second) / time.Second)) }
	for _, i := range m.instances {
		num(i.read)
		num(i.term.lease.Claim)
		num(i.term.lease.Last)
		ago(i.term.leaseAt)
		ago(i.term.deadline)
		ago(i.term.sentAt)
		for _, r := range i.inFlight {
			b = append(b, r.ID...)
			ago(i.term.pending[r.ID])
		}
		b = append(b, '|')
		for n := i.read; n < len(m.log); n++ {
			if t, ok := i.term.pending[m.log[n].ID]; ok {
				num(n)
				ago(t)
			}
		}
	}
	for _, r := range m.log {
		b = append(b, r.ID...)
	}
	return string(b)
}

// verdict is a lease, the record that follows it and the record's offset.
type verdict struct {
	lease  savoryloft.LeaseState
	offset int
	data   string
}

// verdicts keeps the fold's results, which the exploration asks for again and
// again.
var verdicts = map[verdict]savoryloft.LeaseState{}

func (m *model) land(i int) {
	inst := &m.instances[i]
	r := inst.inFlight[0]
	inst.inFlight = inst.inFlight[1:]
	state := folder.New()
	if len(m.leases) > 0 {
		state.Offset = len(m.log) - 1
		state.Lease = m.leases[len(m.leases)-1]
	}
	data, _ := json.Marshal(r)
	v := verdict{state.Lease, len(m.log), string(data)}
	lease, ok := verdicts[v]
	if !ok {
		state.Apply(len(m.log), data)
		lease = state.Lease
		verdicts[v] = lease
	}
	m.log = append(m.log, r)
	m.leases = append(m.leases, lease)
}

func (m *model) readNext(i int, f fault) {
	inst := &m.instances[i]
	r := m.log[inst.read]
	if _, ok := inst.term.pending[r.ID]; ok && f.countFromRead {
		inst.term.pending[r.ID] = m.now
	}
	inst.term.observe(m.now, &r, m.leases[inst.read])
	inst.read++
}

func (m *model) send(i int, f fault) bool {
	inst := &m.instances[i]
	if f.noDrift {
		inst.term.drift = -modelTTL - time.Nanosecond
	}
	r, due := inst.term.next(m.now, 0)
	if !due {
		return false
	}
	if r.Claim != nil && f.ignoreSaw {
		r.Claim.Saw = 1 << 30
	}
	inst.inFlight = append(inst.inFlight, r)
	return true
}

// successors returns the states one event later.
func (m *model) successors(f fault) []*model {
	var list []*model
	tick := m.clone()
	tick.now = tick.now.Add(modelTick)
	list = append(list, tick)
	for i := range m.instances {
		if m.instances[i].read < len(m.log) {
			c := m.clone()
			c.readNext(i, f)
			list = append(list, c)
		}
		if len(m.instances[i].inFlight) > 0 {
			c := m.clone()
			c.land(i)
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

func (m *model) holders() int {
	n := 0
	for i := range m.instances {
		if _, ok := m.instances[i].term.held(m.now); ok {
			n++
		}
	}
	return n
}

// explore returns the number of states seen, the most holders at once in any
// of them, and whether the lease changed hands in some.
func explore(instances, depth int, f fault) (states, most int, moved bool) {
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
				if most = max(most, s.holders()); most > 1 {
					return len(seen), most, moved
				}
				moved = moved || changedHands(s.leases)
				next = append(next, s)
			}
		}
		frontier = next
	}
	return len(seen), most, moved
}

func changedHands(leases []savoryloft.LeaseState) bool {
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
			states, most, moved := explore(tt.instances, tt.depth, fault{})
			t.Logf("%d states explored to depth %d", states, tt.depth)
			require.Equal(t, 1, most)
			require.True(t, moved || tt.instances > 2, "the depth must reach a change of holder")
		})
	}
}

// The same exploration finds two holders in each broken variant, so its
// silence on the real protocol means something.
func TestModelNoticesBrokenProtocols(t *testing.T) {
	tests := []struct {
		name  string
		fault fault
	}{
		{"time counted from the read", fault{countFromRead: true}},
		{"claim ignores renewals", fault{ignoreSaw: true}},
		{"claim without waiting", fault{noDrift: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			states, most, _ := explore(2, 12, tt.fault)
			t.Logf("%d states explored", states)
			require.Greater(t, most, 1)
		})
	}
}
