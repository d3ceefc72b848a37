package relayer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/placer"
)

// Decides for one request of the third urgency with an objective of one second and a prompt of 6,000
// uncached tokens, unless stated otherwise, at upstreams with 32 slots.
func TestAdmissionDecision(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, tt := range []struct {
		name           string
		change         func(in *admissionInput)
		taken, refused bool
	}{
		{"calm", func(*admissionInput) {}, true, false},
		{"nothing known", func(in *admissionInput) { in.Choice, in.Slots = placer.Choice{}, 0 }, true, false},
		{"long prompt after a start", func(in *admissionInput) { in.Starting = true }, false, false},
		{"short prompt after a start", func(in *admissionInput) { in.Starting, in.Choice.UncachedTokens = true, 300 }, true, false},
		{"all full", func(in *admissionInput) { in.Choice.Full = true }, false, false},
		{"all full, most urgent", func(in *admissionInput) { in.Choice.Full, in.Position = true, 0 }, true, false},
		{"alone, its part of the slots taken", func(in *admissionInput) { in.Share, in.Choice.Running = 0.1, 4 }, false, false},
		{"alone, its part not taken", func(in *admissionInput) { in.Share, in.Choice.Running = 0.1, 3 }, true, false},
		{"beyond the objective", func(in *admissionInput) { in.Choice.TimeToFirstToken = ms(1300) }, false, true},
		{"beyond the objective, more urgent", func(in *admissionInput) {
			in.Choice.TimeToFirstToken, in.Position, in.MaxFirstToken = ms(1300), 1, ms(2500)
		}, true, false},
		{"beyond the objective, most urgent", func(in *admissionInput) { in.Choice.TimeToFirstToken, in.Position = time.Minute, 0 }, true, false},
		{"after too long a wait", func(in *admissionInput) { in.Waited = ms(1150) }, false, true},
		{"first tokens are late", func(in *admissionInput) { in.Lateness = ms(1200) }, false, true},
		{"first tokens are late, but slots are free", func(in *admissionInput) {
			in.Lateness, in.Choice.Running, in.Last = ms(1200), 15, true
		}, true, false},
		{"first tokens are late, and half of the slots taken", func(in *admissionInput) {
			in.Lateness, in.Choice.Running, in.Last = ms(1200), 16, true
		}, false, true},
		{"long prompts queued, no urgent requests", func(in *admissionInput) { in.queue(12000) }, true, false},
		{"long prompts queued ahead of urgent requests", func(in *admissionInput) { in.queue(18000); in.UrgentNeed = ms(400) }, false, false},
		{"long prompts queued, and the request would be refused", func(in *admissionInput) {
			in.queue(18000)
			in.UrgentNeed, in.Choice.Running, in.Last = ms(400), 10, true
		}, true, false},
		{"more long prompts queued, and the request would be refused", func(in *admissionInput) {
			in.queue(30000)
			in.UrgentNeed, in.Choice.Running, in.Last = ms(400), 10, true
		}, false, false},
		{"few tokens queued ahead of urgent requests", func(in *admissionInput) { in.queue(4000); in.UrgentNeed = ms(400) }, true, false},
		{"few tokens queued, but urgent first tokens are late", func(in *admissionInput) {
			in.queue(8000)
			in.UrgentNeed, in.UrgentLateness = ms(400), ms(300)
		}, false, false},
		{"short prompt behind long ones", func(in *admissionInput) {
			in.Choice.UncachedTokens = 300
			in.queue(18000)
			in.UrgentNeed = ms(400)
		}, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			in := admissionInput{Position: 2, Objective: time.Second, MaxFirstToken: ms(1200), Slots: 32, Share: 1, Choice: placer.Choice{Running: 20, UncachedTokens: 6000, TimeToFirstToken: ms(100)}}
			tt.change(&in)
			reply := decideAdmission(in)
			require.Equal(t, tt.taken, reply.Taken)
			require.Equal(t, tt.refused, reply.Hopeless)
		})
	}
}

// queue adds prompt tokens that await prefill, at 60 a ms.
func (in *admissionInput) queue(tokens int) {
	in.Choice.QueuedTokens = tokens
	in.Choice.TimeToFirstToken = time.Duration(float64(tokens+in.Choice.UncachedTokens) / 60 * float64(time.Millisecond))
}

// Late first tokens count until they are forgotten, overdue ones only if most are.
func TestLatenessOfFirstTokens(t *testing.T) {
	var s rankStates
	now := time.Now()
	key, low := rankKey{"chat", 0}, rankKey{"chat", 2}
	s.recordRequest(now, key, time.Second)
	requests := make([]*exchange, 10)
	for i := range requests {
		requests[i] = &exchange{}
		s.begin(now, key, requests[i], placer.Choice{TimeToFirstToken: 100 * time.Millisecond})
	}
	require.Zero(t, s.latenessOf(now, key))
	now = now.Add(600 * time.Millisecond)
	require.Equal(t, 500*time.Millisecond, s.latenessOf(now, key), "all are overdue")
	for _, x := range requests[:8] {
		s.end(now, key, x, true)
	}
	require.InDelta(t, 0.5, s.latenessOf(now, key).Seconds(), 0.05)
	objective, lateness := s.urgent(now, low)
	require.Equal(t, time.Second, objective)
	require.Equal(t, s.latenessOf(now, key), lateness)
	now = now.Add(10 * time.Second)
	require.Less(t, s.latenessOf(now, key), 10*time.Millisecond, "two upstreams that hang are no load")
	objective, _ = s.urgent(now, low)
	require.Zero(t, objective, "no urgent requests lately")
}

// After a start long prompts are sent as the first tokens of earlier ones come; the others
// are not limited.
func TestStartFromNothing(t *testing.T) {
	var s rankStates
	now, key := time.Now(), rankKey{"chat", 2}
	s.recordRequest(now, key, time.Second)
	for range 10 {
		s.begin(now, key, &exchange{}, placer.Choice{UncachedTokens: 100})
	}
	var sent []*exchange
	sendAll := func() {
		for !s.starting("chat") && len(sent) < 1000 {
			x := &exchange{}
			s.begin(now, key, x, placer.Choice{UncachedTokens: 6000})
			sent = append(sent, x)
		}
	}
	sendAll()
	require.Len(t, sent, startWindow)
	s.end(now, key, sent[0], true)
	sendAll()
	require.Len(t, sent, startWindow+2, "one for the end of the first, one more for its success")
	s.end(now, key, sent[1], false)
	sendAll()
	require.Len(t, sent, startWindow+3, "a failure opens no more")
	for i := 0; i < len(sent) && s.starting("chat"); i++ {
		s.end(now, key, sent[i], true)
		sendAll()
	}
	require.Len(t, sent, 1000, "no limit in the end")
}
