package server_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/emulator"
	"savoryloft.example/savoryloft/monitor"
)

// matrixFault is one fault of the matrix. Inject starts it; what it changes at
// the platform or the network is healed after the step.
type matrixFault struct {
	name   string
	inject func(f *fleet)
	// except tells why the fault does not apply to a step, by the step's name.
	except map[string]string
}

// matrixStep is one step of the matrix: an action during which fault is called
// at the moment that matters most.
type matrixStep struct {
	name string
	run  func(f *fleet, c *checks, fault func())
}

// checks collects what the invariants are checked against after a cell.
type checks struct {
	streams   int // Streams that callers opened.
	delivered int // Tokens that callers got.
	killed    bool
	withdrawn bool
	notes     []string
}

func matrixFaults() []matrixFault {
	platform := func(p emulator.PlatformFaults) func(*fleet) {
		return func(f *fleet) { f.platform.SetFaults(p) }
	}
	return []matrixFault{
		{name: "none", inject: func(*fleet) {}},
		{name: "kill entry", inject: func(f *fleet) { f.kill(f.victim()) }},
		{name: "cut entry from platform", inject: func(f *fleet) { f.network.Partition(entryName(f.victim()), platformHost) }},
		{name: "cut entry from peers", inject: func(f *fleet) {
			f.network.Partition(entryName(0), entryName(1))
			f.network.Partition(entryName(0), entryName(2))
		}},
		{name: "half-open links", inject: func(f *fleet) {
			for i := range f.entries {
				for _, h := range []string{platformHost, "engine-1", "booking-1", entryName((i + 1) % 3)} {
					f.network.DropTraffic(entryName(i), h)
				}
			}
		}},
		{name: "slow platform", inject: platform(emulator.PlatformFaults{Delay: 800e6})},
		{name: "log out", inject: platform(emulator.PlatformFaults{LogDown: true})},
		{name: "platform out", inject: platform(emulator.PlatformFaults{Down: true})},
		{name: "lost answers", inject: platform(emulator.PlatformFaults{LoseAnswers: 6})},
		{name: "lost calls", inject: platform(emulator.PlatformFaults{LoseCalls: 6})},
		{name: "lagging list", inject: platform(emulator.PlatformFaults{ListLag: 20e9})},
		{name: "straggler", inject: func(f *fleet) { f.engines[0].SetFaults(emulator.EngineFaults{Slowdown: 10}) }},
		{name: "reclaimed domain", inject: func(f *fleet) { f.network.Kill("engine-1") }},
		{name: "crossed answers", inject: func(f *fleet) { f.engines[0].SetFaults(emulator.EngineFaults{CrossAnswers: true}) }},
		{name: "service loses answers", inject: func(f *fleet) { f.service.SetFaults(emulator.ServiceFaults{LoseAnswers: 2}) }},
		{name: "racing operators", inject: func(f *fleet) {
			base := f.base()
			for i := range 2 {
				f.publish(savoryloft.Note{ID: fmt.Sprint("race-", i), Base: base, Changed: &savoryloft.Entities{
					Classes: []savoryloft.Class{{Name: "reviews", Tier: 3, FirstToken: savoryloft.Duration(time.Duration(i+1) * time.Second), FloorPercent: 2}},
				}})
			}
		}},
		{name: "withdrawn key", inject: func(f *fleet) { f.withdrawKey("b") }},
		{name: "freeze entry", inject: nil, except: map[string]string{
			"": "virtual time can not stop one process; make faults does with SIGSTOP, and the lease model covers pauses",
		}},
	}
}

// victim is the instance that faults hit: the lease holder when there is one.
func (f *fleet) victim() int {
	i, _ := f.leaseHolder()
	return i
}

func matrixSteps() []matrixStep {
	return []matrixStep{
		{"stream", func(f *fleet, c *checks, fault func()) {
			results := make(chan stream, 6)
			for n := range 6 {
				go func() { results <- f.chat(n%3, secretB, "quotes", fmt.Sprint("m", n%2), 100) }()
			}
			time.Sleep(400 * time.Millisecond)
			fault()
			for range 6 {
				c.checkStream(f, <-results, 100)
			}
		}},
		{"keyed call", func(f *fleet, c *checks, fault func()) {
			f.service.SetFaults(emulator.ServiceFaults{Delay: 100 * time.Millisecond})
			done := make(chan struct{}, 3)
			for n := range 3 {
				go func() { c.call(f, n, fmt.Sprint("call-", n)); done <- struct{}{} }()
			}
			time.Sleep(5 * time.Millisecond)
			fault()
			for range 3 {
				<-done
			}
			for n := range 6 {
				c.call(f, n%3, fmt.Sprint("call-", n%3))
				time.Sleep(time.Second)
			}
		}},
		{"note", func(f *fleet, c *checks, fault func()) {
			fault()
			f.publish(savoryloft.Note{ID: "matrix", Base: f.base(), Added: &savoryloft.Entities{
				ClientAccounts: []savoryloft.ClientAccount{{Name: "new", Weight: 1}},
			}})
			c.notes = append(c.notes, "matrix")
			time.Sleep(3 * time.Second)
		}},
		{"order", func(f *fleet, _ *checks, fault func()) {
			go func() {
				time.Sleep(1600 * time.Millisecond)
				fault()
			}()
			f.publish(savoryloft.Note{ID: "pool", Base: f.base(), Added: &savoryloft.Entities{Pools: []savoryloft.Pool{{
				Name: "auto", Kind: savoryloft.PoolKindEngine, Slots: 4, Minimum: 3, Maximum: 3,
			}}}})
			time.Sleep(20 * time.Second)
		}},
		{"window", func(f *fleet, c *checks, fault func()) {
			c.checkStream(f, f.chat(1, secretA, "quotes", "m0", 20), 20)
			time.Sleep(time.Until(time.Now().Truncate(10 * time.Second).Add(13 * time.Second)))
			fault()
			time.Sleep(10 * time.Second)
		}},
		{"planned stop", func(f *fleet, c *checks, fault func()) {
			result := make(chan stream, 1)
			go func() { result <- f.chat(1, secretA, "quotes", "m0", 500) }()
			time.Sleep(time.Second)
			stopped := make(chan error, 1)
			go func() { stopped <- f.stopEntry(1) }()
			time.Sleep(time.Second)
			fault()
			c.checkStream(f, <-result, 500)
			<-stopped
		}},
	}
}

// checkStream checks that a caller got its own whole answer or a true error.
func (c *checks) checkStream(f *fleet, s stream, tokens int) {
	c.streams++
	c.delivered += len(strings.Fields(s.text))
	if s.done {
		require.Contains(f.t, []string{wantText("m0", tokens), wantText("m1", tokens)}, s.text)
		return
	}
	if s.text != "" {
		require.True(f.t, strings.HasPrefix(wantText("m0", tokens), s.text) || strings.HasPrefix(wantText("m1", tokens), s.text))
	}
	require.True(f.t, s.failed != "" || s.err != nil || c.killed, "a stream ended without marker, error or reason")
}

// call sends a keyed call and notes a refusal that says "not run".
func (c *checks) call(f *fleet, i int, id string) {
	_, body := f.post(i, "/bookings", secretB, id, "key-"+id)
	if strings.Contains(body, `"Run":"NotRun"`) {
		require.Zero(f.t, f.service.Executions()[id], "told not run, but ran: %s", body)
	}
}

// checkInvariants checks every promise that can be seen from outside.
func (c *checks) checkInvariants(f *fleet) {
	for id, n := range f.service.Executions() {
		require.LessOrEqual(f.t, n, 1, "call %s", id)
	}
	_, tokens := f.reported()
	require.LessOrEqual(f.t, tokens, f.generated())
	if !c.killed {
		require.GreaterOrEqual(f.t, tokens, c.delivered, "reported less than delivered")
		require.LessOrEqual(f.t, tokens-c.delivered, c.streams*cutMargin, "reported more than delivered")
	}
	starts := 0
	for _, o := range f.platform.Orders() {
		if o.Order.Pool == "auto" {
			starts++
		}
	}
	require.LessOrEqual(f.t, starts, 3, "orders beyond the pool's need")
	c.checkAgreement(f)
}

// cutMargin is the number of tokens that can be on their way to the caller
// when its stream is cut.
const cutMargin = 3

// checkAgreement checks that all running instances hold the same state, with
// the notes accepted in force.
func (c *checks) checkAgreement(f *fleet) {
	require.Eventually(f.t, func() bool { return len(f.hashes()) == 1 }, 5*time.Second, 50*time.Millisecond,
		"instances hold different states")
	for i, e := range f.entries {
		if e.ended.Load() {
			continue
		}
		for _, id := range c.notes {
			status, verdict := f.get(opsAddr(i), "/notes/"+id)
			require.Equal(f.t, 200, status)
			require.NotContains(f.t, string(verdict), "Rejected")
		}
		if c.withdrawn {
			require.Equal(f.t, 401, f.chat(i, secretB, "quotes", "after", 3).status)
		}
	}
}

// hashes returns the distinct states of the running instances.
func (f *fleet) hashes() []string {
	var list []string
	for i, e := range f.entries {
		if e.ended.Load() {
			continue
		}
		_, body := f.get(opsAddr(i), "/status")
		var s monitor.Status
		require.NoError(f.t, json.Unmarshal(body, &s))
		list = append(list, s.Hash)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// runCell runs a step under some faults and checks everything afterwards.
func runCell(t *testing.T, step matrixStep, faults ...matrixFault) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stop()
		started := 0
		f.platform.Start = func(o savoryloft.Order) (savoryloft.ListedInstance, error) {
			started++
			return savoryloft.ListedInstance{
				Name: fmt.Sprint("auto-", started), Kind: savoryloft.ListedInstanceKindUpstream, Pool: o.Pool,
				Address: "127.0.0.1:9999", FailureDomain: o.FailureDomain, State: savoryloft.ListedInstanceStateLive,
			}, nil
		}
		time.Sleep(3 * time.Second) // The lease has a holder.
		c := &checks{}
		step.run(f, c, func() {
			for _, fault := range faults {
				c.killed = c.killed || fault.name == "kill entry"
				c.withdrawn = c.withdrawn || fault.name == "withdrawn key"
				fault.inject(f)
			}
		})
		f.heal()
		time.Sleep(50 * time.Second)
		c.checkInvariants(f)
	})
}

// heal ends all faults but deaths.
func (f *fleet) heal() {
	f.platform.SetFaults(emulator.PlatformFaults{})
	for i := range f.entries {
		f.network.HealPartition(entryName(i), platformHost)
		for j := range f.entries {
			f.network.HealPartition(entryName(i), entryName(j))
		}
	}
	for _, e := range f.engines {
		e.SetFaults(emulator.EngineFaults{})
	}
	f.service.SetFaults(emulator.ServiceFaults{})
}

func TestFaultMatrix(t *testing.T) {
	rows := []string{}
	for _, fault := range matrixFaults() {
		row := fmt.Sprintf("%-24s", fault.name)
		for _, step := range matrixSteps() {
			if fault.inject == nil {
				row += fmt.Sprintf(" %-13s", step.name+": n/a")
				continue
			}
			ok := t.Run(step.name+"/"+fault.name, func(t *testing.T) { runCell(t, step, fault) })
			mark := "ok"
			if !ok {
				mark = "FAIL"
			}
			row += fmt.Sprintf(" %-13s", step.name+": "+mark)
		}
		if fault.inject == nil {
			row += " (" + fault.except[""] + ")"
		}
		rows = append(rows, row)
	}
	t.Log("\n" + strings.Join(rows, "\n"))
}

// TestFaultPairs draws pairs of faults at random steps. The seed is printed.
func TestFaultPairs(t *testing.T) {
	const seed, pairs = 20261204, 24
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 1))
	steps := matrixSteps()
	faults := slices.DeleteFunc(matrixFaults(), func(f matrixFault) bool { return f.inject == nil || f.name == "none" })
	for range pairs {
		step := steps[random.IntN(len(steps))]
		a, b := faults[random.IntN(len(faults))], faults[random.IntN(len(faults))]
		t.Run(step.name+"/"+a.name+" and "+b.name, func(t *testing.T) { runCell(t, step, a, b) })
	}
}
