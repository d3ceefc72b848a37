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

// matrixFault is one fault of the matrix. Changes that inject makes to the
// platform, the network or the upstreams are reverted after the step.
type matrixFault struct {
	name   string
	inject func(f *fleet)
	// Reason why the fault can not be injected. The key "" stands for every step.
	notApplicable map[string]string
}

// matrixStep is one step of the matrix. Its run function calls fault at the
// moment of the action at which a failure is most likely to break an invariant.
type matrixStep struct {
	name string
	run  func(f *fleet, c *cellResults, fault func())
}

// cellResults holds the results of one cell of the matrix, that is, of a step
// under faults. The invariants are checked against them.
type cellResults struct {
	streamCount     int // Streams opened by callers.
	tokensDelivered int // Tokens received by callers.
	killed          bool
	withdrawn       bool
	noteIDs         []string
}

func matrixFaults() []matrixFault {
	platform := func(p emulator.PlatformFaults) func(*fleet) {
		return func(f *fleet) { f.platform.SetFaults(p) }
	}
	return []matrixFault{
		{name: "none", inject: func(*fleet) {}},
		{name: "kill entry", inject: func(f *fleet) { f.kill(f.faultTarget()) }},
		{name: "cut entry from platform", inject: func(f *fleet) { f.network.Partition(entryName(f.faultTarget()), platformHost) }},
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
		{name: "log unavailable", inject: platform(emulator.PlatformFaults{LogDown: true})},
		{name: "platform unavailable", inject: platform(emulator.PlatformFaults{Down: true})},
		{name: "lost answers", inject: platform(emulator.PlatformFaults{LoseAnswers: 6})},
		{name: "lost calls", inject: platform(emulator.PlatformFaults{LoseCalls: 6})},
		{name: "lagging list", inject: platform(emulator.PlatformFaults{ListLag: 20e9})},
		{name: "straggler", inject: func(f *fleet) { f.engines[0].SetFaults(emulator.EngineFaults{Slowdown: 10}) }},
		{name: "reclaimed domain", inject: func(f *fleet) { f.network.Kill("engine-1") }},
		{name: "crossed answers", inject: func(f *fleet) { f.engines[0].SetFaults(emulator.EngineFaults{CrossAnswers: true}) }},
		{name: "service loses answers", inject: func(f *fleet) { f.service.SetFaults(emulator.ServiceFaults{LoseAnswers: 2}) }},
		{name: "racing operators", inject: func(f *fleet) {
			base := f.lastControlOffset()
			for i := range 2 {
				f.publish(savoryloft.Note{ID: fmt.Sprint("race-", i), Base: base, Changed: &savoryloft.Entities{
					Classes: []savoryloft.Class{{Name: "reviews", Tier: 3, FirstToken: savoryloft.Duration(time.Duration(i+1) * time.Second), FloorPercent: 2}},
				}})
			}
		}},
		{name: "withdrawn key", inject: func(f *fleet) { f.withdrawKey("b") }},
		{name: "freeze entry", inject: nil, notApplicable: map[string]string{
			"": "a single process can not be paused in virtual time; make faults does so with SIGSTOP, and the lease model covers pauses",
		}},
	}
}

// faultTarget returns the entry instance that faults apply to: the lease holder,
// or the first one if there is none.
func (f *fleet) faultTarget() int {
	i, _ := f.leaseHolder()
	return i
}

func matrixSteps() []matrixStep {
	return []matrixStep{
		{"stream", func(f *fleet, c *cellResults, fault func()) {
			results := make(chan chatResult, 6)
			for n := range 6 {
				go func() { results <- f.chat(n%3, apiKeyB, "quotes", fmt.Sprint("m", n%2), 100) }()
			}
			time.Sleep(400 * time.Millisecond)
			fault()
			for range 6 {
				c.checkStream(f, <-results, 100)
			}
		}},
		{"keyed call", func(f *fleet, c *cellResults, fault func()) {
			f.service.SetFaults(emulator.ServiceFaults{Delay: 100 * time.Millisecond})
			done := make(chan struct{}, 3)
			for n := range 3 {
				go func() { c.checkKeyedCall(f, n, fmt.Sprint("call-", n)); done <- struct{}{} }()
			}
			time.Sleep(5 * time.Millisecond)
			fault()
			for range 3 {
				<-done
			}
			for n := range 6 {
				c.checkKeyedCall(f, n%3, fmt.Sprint("call-", n%3))
				time.Sleep(time.Second)
			}
		}},
		{"note", func(f *fleet, c *cellResults, fault func()) {
			fault()
			f.publish(savoryloft.Note{ID: "matrix", Base: f.lastControlOffset(), Added: &savoryloft.Entities{
				ClientAccounts: []savoryloft.ClientAccount{{Name: "new", Weight: 1}},
			}})
			c.noteIDs = append(c.noteIDs, "matrix")
			time.Sleep(3 * time.Second)
		}},
		{"order", func(f *fleet, _ *cellResults, fault func()) {
			go func() {
				time.Sleep(1600 * time.Millisecond)
				fault()
			}()
			f.publish(savoryloft.Note{ID: "pool", Base: f.lastControlOffset(), Added: &savoryloft.Entities{Pools: []savoryloft.Pool{{
				Name: "auto", Kind: savoryloft.PoolKindEngine, Slots: 4, Minimum: 3, Maximum: 3,
			}}}})
			time.Sleep(20 * time.Second)
		}},
		{"window", func(f *fleet, c *cellResults, fault func()) {
			c.checkStream(f, f.chat(1, apiKeyA, "quotes", "m0", 20), 20)
			time.Sleep(time.Until(time.Now().Truncate(10 * time.Second).Add(13 * time.Second)))
			fault()
			time.Sleep(10 * time.Second)
		}},
		{"planned stop", func(f *fleet, c *cellResults, fault func()) {
			result := make(chan chatResult, 1)
			go func() { result <- f.chat(1, apiKeyA, "quotes", "m0", 500) }()
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

// checkStream checks that a caller received the whole text for its prompt, or a
// prefix of it and an error. A missing error is accepted if an instance was
// killed.
func (c *cellResults) checkStream(f *fleet, s chatResult, tokens int) {
	c.streamCount++
	c.tokensDelivered += len(strings.Fields(s.text))
	if s.done {
		require.Contains(f.t, []string{chatText("m0", tokens), chatText("m1", tokens)}, s.text)
		return
	}
	if s.text != "" {
		require.True(f.t, strings.HasPrefix(chatText("m0", tokens), s.text) || strings.HasPrefix(chatText("m1", tokens), s.text))
	}
	require.True(f.t, s.errorCode != "" || s.err != nil || c.killed, "a stream ended without end marker or error, and no instance was killed")
}

// checkKeyedCall sends a call with an Idempotency-Key. If the response says that
// the call has not run, it checks that the service has not run it.
func (c *cellResults) checkKeyedCall(f *fleet, i int, id string) {
	_, body := f.post(i, "/bookings", apiKeyB, id, "key-"+id)
	if strings.Contains(body, `"Run":"NotRun"`) {
		require.Zero(f.t, f.service.Executions()[id], "the call was reported as not run, but has run: %s", body)
	}
}

// checkInvariants checks that no call ran twice, that usage reports match the
// tokens generated and delivered, that no surplus instances were ordered and
// that the entry instances agree.
func (c *cellResults) checkInvariants(f *fleet) {
	for id, n := range f.service.Executions() {
		require.LessOrEqual(f.t, n, 1, "call %s", id)
	}
	_, tokens := f.reportedUsage()
	require.LessOrEqual(f.t, tokens, f.generatedTokens())
	if !c.killed {
		require.GreaterOrEqual(f.t, tokens, c.tokensDelivered, "fewer tokens reported than delivered")
		require.LessOrEqual(f.t, tokens-c.tokensDelivered, c.streamCount*maxTokensInTransit, "more tokens reported than delivered")
	}
	starts := 0
	for _, o := range f.platform.Orders() {
		if o.Order.Pool == "auto" {
			starts++
		}
	}
	require.LessOrEqual(f.t, starts, 3, "more instances ordered than the pool needs")
	c.checkAgreement(f)
}

// maxTokensInTransit is the number of tokens that can be in transit to the
// caller when its stream is cut. They are reported but not delivered.
const maxTokensInTransit = 3

// checkAgreement checks that all running entry instances have the same control
// state, that none rejected a note and that a withdrawn key is refused.
func (c *cellResults) checkAgreement(f *fleet) {
	require.Eventually(f.t, func() bool { return len(f.stateHashes()) == 1 }, 5*time.Second, 50*time.Millisecond,
		"instances have different states")
	for i, e := range f.entries {
		if e.ended.Load() {
			continue
		}
		for _, id := range c.noteIDs {
			status, verdict := f.get(operatorAddr(i), "/notes/"+id)
			require.Equal(f.t, 200, status)
			require.NotContains(f.t, string(verdict), "Rejected")
		}
		if c.withdrawn {
			require.Equal(f.t, 401, f.chat(i, apiKeyB, "quotes", "after", 3).status)
		}
	}
}

// stateHashes returns the distinct state hashes of the running entry instances.
func (f *fleet) stateHashes() []string {
	var list []string
	for i, e := range f.entries {
		if e.ended.Load() {
			continue
		}
		_, body := f.get(operatorAddr(i), "/status")
		var s monitor.Status
		require.NoError(f.t, json.Unmarshal(body, &s))
		list = append(list, s.Hash)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// runMatrixCell runs a step with faults injected, clears them and checks the
// invariants.
func runMatrixCell(t *testing.T, step matrixStep, faults ...matrixFault) {
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
		time.Sleep(3 * time.Second) // Until an instance holds the lease.
		c := &cellResults{}
		step.run(f, c, func() {
			for _, fault := range faults {
				c.killed = c.killed || fault.name == "kill entry"
				c.withdrawn = c.withdrawn || fault.name == "withdrawn key"
				fault.inject(f)
			}
		})
		f.clearFaults()
		time.Sleep(50 * time.Second)
		c.checkInvariants(f)
	})
}

// clearFaults ends all faults. Killed instances and upstreams stay down.
func (f *fleet) clearFaults() {
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
			ok := t.Run(step.name+"/"+fault.name, func(t *testing.T) { runMatrixCell(t, step, fault) })
			mark := "ok"
			if !ok {
				mark = "FAIL"
			}
			row += fmt.Sprintf(" %-13s", step.name+": "+mark)
		}
		if fault.inject == nil {
			row += " (" + fault.notApplicable[""] + ")"
		}
		rows = append(rows, row)
	}
	t.Log("\n" + strings.Join(rows, "\n"))
}

// TestFaultPairs injects two random faults into random steps of the matrix. It
// logs the seed.
func TestFaultPairs(t *testing.T) {
	const seed, pairs = 20261204, 24
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 1))
	steps := matrixSteps()
	faults := slices.DeleteFunc(matrixFaults(), func(f matrixFault) bool { return f.inject == nil || f.name == "none" })
	for range pairs {
		step := steps[random.IntN(len(steps))]
		a, b := faults[random.IntN(len(faults))], faults[random.IntN(len(faults))]
		t.Run(step.name+"/"+a.name+" and "+b.name, func(t *testing.T) { runMatrixCell(t, step, a, b) })
	}
}
