package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Instances that all retry as often as the limiter allows must together stay
// within the retry budget in every window.
func TestRetryBudgetHoldsAcrossInstances(t *testing.T) {
	const instances, ratio, slack = 4, 0.2, 56
	window := 10 * time.Second
	var limiters []*Limiter
	for range instances {
		limiters = append(limiters, &Limiter{Ratio: ratio, Slack: slack, Window: window, Instances: func() int { return instances }})
	}
	now := time.Unix(1000, 0)
	var retries, requests []time.Time
	for step := range 4000 {
		now = now.Add(10 * time.Millisecond)
		l := limiters[step%instances]
		if step%3 == 0 {
			l.RecordRequest(now, "s")
			requests = append(requests, now)
		}
		for range 3 {
			if l.Allow(now, "s") {
				retries = append(retries, now)
			}
		}
	}
	count := func(list []time.Time, from, to time.Time) int {
		n := 0
		for _, at := range list {
			if at.After(from) && !at.After(to) {
				n++
			}
		}
		return n
	}
	for end := time.Unix(1011, 0); end.Before(now); end = end.Add(500 * time.Millisecond) {
		from := end.Add(-window)
		offered := max(count(requests, from, end), count(requests, from.Add(-window), from))
		require.LessOrEqual(t, float64(count(retries, from, end)), ratio*float64(offered)+slack)
	}
	require.NotEmpty(t, retries)
}

// Guards against urgent requests that are not sent again after a rejection, since retries of
// less urgent ones have used up the budget.
func TestLessUrgentRetriesLeavePartOfTheBudget(t *testing.T) {
	l := &Limiter{Ratio: 0.2, Slack: 25, Window: 10 * time.Second, Instances: func() int { return 1 }}
	now := time.Unix(1000, 0)
	for range 125 {
		l.RecordRequest(now, "s")
	}
	retry := func(share float64) (n int) {
		for range 100 {
			if l.AllowWithin(now, "s", share) {
				n++
			}
		}
		return n
	}
	require.Equal(t, 20, retry(0.5), "half of 0.8 x (0.2 x 125 + 25)")
	require.Equal(t, 20, retry(1))
	require.Zero(t, retry(1))
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	l := &Limiter{Slack: 2, Window: time.Second, Instances: func() int { return 1 }}
	now := time.Unix(5, 0)
	require.True(t, l.Allow(now, "a"))
	require.False(t, l.Allow(now, "a"))
	require.True(t, l.Allow(now, "b"))
	require.True(t, l.Allow(now.Add(2*time.Second), "a"), "the first retry has left the window")
}

// Guards against settings without a window that end the process.
func TestWindowHasADefault(t *testing.T) {
	l := &Limiter{Slack: 2, Instances: func() int { return 1 }}
	now := time.Unix(5, 0)
	l.RecordRequest(now, "s")
	require.True(t, l.Allow(now, "s"))
	require.False(t, l.Allow(now, "s"))
	require.True(t, l.Allow(now.Add(2*defaultWindow), "s"))
}
