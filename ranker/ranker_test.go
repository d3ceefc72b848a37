package ranker

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Whatever the objectives of a service's kinds are, no bound of a request is below that of a
// less urgent one, and the most urgent ones may use all of a queue.
func TestBoundsRiseWithUrgency(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var kinds []Kind
		for range rapid.IntRange(1, 12).Draw(t, "kinds") {
			kinds = append(kinds, Kind{rapid.IntRange(0, 9).Draw(t, "urgency"), ms(rapid.IntRange(0, 5000).Draw(t, "objective"))})
		}
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		s := New(kinds)
		for i, k := range s.kinds {
			require.GreaterOrEqual(t, s.MaxRunning(k.urgency, slots), slots)
			if i > 0 {
				more := s.kinds[i-1].urgency
				require.Greater(t, s.MaxFirstToken(more), s.MaxFirstToken(k.urgency))
				require.GreaterOrEqual(t, s.MaxRunning(more, slots), s.MaxRunning(k.urgency, slots))
				require.Greater(t, s.RetryShare(more), s.RetryShare(k.urgency))
				require.GreaterOrEqual(t, s.LongestObjective(more), s.LongestObjective(k.urgency))
			}
		}
		if len(s.kinds) > 0 {
			require.Equal(t, math.MaxInt, s.MaxRunning(s.kinds[0].urgency, slots))
			require.InDelta(t, 1, s.RetryShare(s.kinds[0].urgency), 1e-9)
		}
	})
}

// Three routes as in the incident's shortage, with objectives of 250, 300 and 1,000 ms.
func TestBoundsOfThreeKinds(t *testing.T) {
	s := New([]Kind{{5, ms(1000)}, {3, ms(250)}, {4, ms(300)}, {4, ms(200)}, {1, 0}})
	for _, tt := range []struct {
		urgency       int
		maxFirstToken time.Duration
		maxRunning    int // Of 12 slots.
	}{
		{3, math.MaxInt64, math.MaxInt},
		{4, ms(1800), 20},
		{5, ms(1200), 16},
	} {
		require.Equal(t, tt.maxFirstToken, s.MaxFirstToken(tt.urgency))
		require.Equal(t, tt.maxRunning, s.MaxRunning(tt.urgency, 12))
	}
	require.Equal(t, math.MaxInt, s.MaxRunning(5, 0), "unknown slots")
	require.Equal(t, ms(1200), New([]Kind{{5, ms(1000)}}).MaxFirstToken(5), "the only kind")
}

// Urgent requests that find no room make the less urgent ones with prompts of their size give
// way, until they find room again.
func TestLessUrgentRequestsGiveWay(t *testing.T) {
	var p Pressure
	now := time.Now()
	for range 90 {
		p.RecordRequest(now, "chat", 1)
	}
	require.Zero(t, p.Share(now, "chat", 2, 9000), "all find room")
	for range 4 {
		p.RecordRefusal(now, "chat", 1, 9000)
	}
	require.InDelta(t, 0.5, p.Share(now, "chat", 2, 9000), 0.001, "4 of 90 are refused")
	require.Zero(t, p.Share(now, "chat", 2, 8000), "shorter than those that were refused")
	require.Zero(t, p.Share(now, "chat", 1, 9000), "as urgent")
	require.Zero(t, p.Share(now, "chat", 0, 9000), "more urgent")
	require.Zero(t, p.Share(now, "other", 2, 9000))
	for range 20 {
		p.RecordRefusal(now, "chat", 1, 9000)
	}
	require.True(t, p.GivesWay(now, "chat", 2, 9000))
	require.Less(t, p.Share(now.Add(5*time.Second), "chat", 2, 9000), 0.3)
	require.True(t, p.Competes(now.Add(time.Second), "chat", 2))
	require.False(t, p.Competes(now, "chat", 1), "nothing is more urgent")
	require.False(t, p.Competes(now.Add(6*time.Second), "chat", 2), "no urgent request lately")
	p.Prune(now.Add(2 * time.Minute))
	require.Empty(t, p.counts)
}
