package claimer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/faker"
)

const ttl = 3 * time.Second

// cluster is a set of claimers that share a log.
type cluster struct {
	log          *faker.Log
	claimers     []*Claimer
	cancels      []context.CancelFunc
	peersHidden  atomic.Bool // PeerHoldsLease returns false for every claimer.
	yieldVisible atomic.Bool // YieldedAt reports a yield of the first claimer.
}

func newCluster(ctx context.Context, n int, log *faker.Log) *cluster {
	cl := buildCluster(n, log)
	cl.run(ctx)
	return cl
}

// buildCluster returns a cluster whose claimers do not run yet.
func buildCluster(n int, log *faker.Log) *cluster {
	cl := &cluster{log: log}
	for i := range n {
		c := &Claimer{
			Log: log, Instance: fmt.Sprintf("entry-%d", i), Incarnation: 1, TTL: ttl, Logger: logr.Discard(),
			Position: func() int { return i },
			PeerHoldsLease: func() bool {
				for j := range cl.claimers {
					if _, _, ok := cl.claimers[j].Held(); ok && j != i && !cl.peersHidden.Load() {
						return true
					}
				}
				return false
			},
			YieldedAt: func(instance string, _ int) time.Duration {
				if _, yielded := cl.claimers[0].Leadership(); instance != "entry-0" || !yielded || !cl.yieldVisible.Load() {
					return 0
				}
				return savoryloft.Uptime()
			},
		}
		cl.claimers = append(cl.claimers, c)
	}
	return cl
}

func (cl *cluster) run(ctx context.Context) {
	for _, c := range cl.claimers {
		claimerCtx, cancel := context.WithCancel(ctx)
		cl.cancels = append(cl.cancels, cancel)
		go func() { _ = c.Run(claimerCtx) }()
	}
}

// holders returns the indexes of the claimers that hold the lease.
func (cl *cluster) holders() []int {
	var held []int
	for i, c := range cl.claimers {
		if _, _, ok := c.Held(); ok {
			held = append(held, i)
		}
	}
	return held
}

func TestOneClaimsAndRenews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cl := newCluster(ctx, 3, &faker.Log{})
		time.Sleep(2 * time.Second)
		require.Equal(t, []int{0}, cl.holders())
		before := cl.log.Calls()
		time.Sleep(10 * time.Second)
		require.Equal(t, []int{0}, cl.holders())
		require.LessOrEqual(t, cl.log.Calls()-before, 12, "only the holder may call the log")
		cancel()
		synctest.Wait()
	})
}

func TestKilledHolderIsReplacedAfterTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cl := newCluster(ctx, 3, &faker.Log{})
		time.Sleep(5 * time.Second)
		cl.cancels[0]()
		time.Sleep(ttl)
		require.Empty(t, cl.holders())
		time.Sleep(ttl + time.Second)
		require.Equal(t, []int{1}, cl.holders())
		first, _, _ := cl.claimers[0].Held()
		second, _, _ := cl.claimers[1].Held()
		require.Greater(t, second, first)
		cancel()
		synctest.Wait()
	})
}

func TestReleaseAndYieldShortenFailover(t *testing.T) {
	for _, tt := range []struct {
		name    string
		release bool
		within  time.Duration
	}{
		{"release at a graceful shutdown", true, 1500 * time.Millisecond},
		{"yield after a partition", false, 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				cl := newCluster(ctx, 2, &faker.Log{})
				time.Sleep(5 * time.Second)
				if tt.release {
					require.NoError(t, cl.claimers[0].Release(ctx))
				}
				cl.cancels[0]()
				for len(cl.holders()) > 0 && !tt.release {
					time.Sleep(100 * time.Millisecond)
				}
				cl.yieldVisible.Store(true)
				time.Sleep(tt.within)
				require.Equal(t, []int{1}, cl.holders())
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a renewal that takes effect late and extends the lease from the
// send time of a later renewal.
func TestDelayedRenewalExtendsFromItsOwnSendTime(t *testing.T) {
	var s stateMachine
	own := func(kind savoryloft.DutyRecordKind, sequence int) savoryloft.DutyRecord {
		return savoryloft.DutyRecord{Instance: "a", Incarnation: 1, Sequence: sequence, Kind: kind}
	}
	claim := s.beginAppend(10 * time.Second)
	s.apply(10*time.Second, 0, own(savoryloft.DutyRecordKindClaim, claim), true, ttl)
	renewal := s.beginAppend(11 * time.Second)
	s.beginAppend(12 * time.Second)
	s.apply(12500*time.Millisecond, 1, own(savoryloft.DutyRecordKindRenewal, renewal), true, ttl)
	left, ok := s.held(12500 * time.Millisecond)
	require.True(t, ok)
	require.Equal(t, 1500*time.Millisecond, left)
}

// Guards against two holders at a time and against a fencing token that two
// instances hold or that is lower than an earlier one. Appends are lost, delayed or
// rejected, calls take up to 250 ms, the log has outages, and PeerHoldsLease may
// return false although a peer holds the lease. In half of the runs the log is also
// restored from copies that are up to some seconds old.
func TestNeverTwoHolders(t *testing.T) {
	for _, restores := range []bool{false, true} {
		holding := 0
		for seed := range uint64(40) {
			t.Run(fmt.Sprintf("%d/restores=%t", seed, restores), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { holding += runWithRandomFaults(t, seed, restores) })
			})
		}
		require.NotZero(t, holding, "no instance ever held the lease")
	}
}

// runWithRandomFaults returns the number of steps in which an instance held the
// lease.
func runWithRandomFaults(t *testing.T, seed uint64, restores bool) (holding int) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	log := &faker.Log{
		Delay:   time.Duration(1+draw(5)) * time.Second,
		Latency: func() time.Duration { return time.Duration(draw(1000)) * time.Millisecond / 4 },
		ChooseOutcome: func() faker.AppendOutcome {
			return []faker.AppendOutcome{
				faker.Acknowledged, faker.Acknowledged, faker.Acknowledged, faker.Acknowledged,
				faker.ResponseLost, faker.Delayed, faker.Refused,
			}[draw(7)]
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	cl := newCluster(ctx, 3, log)
	fences := map[int]int{}
	highest := 0
	copied := log.Copy()
	for step := range 600 {
		time.Sleep(50 * time.Millisecond)
		if restores && draw(40) == 0 {
			copied = log.Copy()
		}
		if restores && draw(200) == 0 {
			log.Restore(copied)
		}
		if step%40 == 0 {
			cl.peersHidden.Store(draw(2) == 0)
			log.SetDown(draw(5) == 0)
		}
		held := cl.holders()
		require.LessOrEqual(t, len(held), 1, "step %d", step)
		if len(held) == 1 {
			fence, _, _ := cl.claimers[held[0]].Held()
			owner, ok := fences[fence]
			require.True(t, !ok || owner == held[0], "fencing token %d has two holders", fence)
			require.GreaterOrEqual(t, fence, highest)
			fences[fence], highest = held[0], fence
			holding++
		}
	}
	cancel()
	time.Sleep(10 * time.Second)
	synctest.Wait()
	return holding
}

// Counts and sizes that the log has lost in a restore are known to the peers, and
// the next holder appends them again as they were.
func TestCommittedRecordsSurviveARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		log := &faker.Log{}
		cl := buildCluster(2, log)
		cl.claimers[0].OnCommit = cl.claimers[1].Learn
		cl.run(ctx)
		time.Sleep(2 * time.Second)
		copied := log.Copy()
		counts := map[string]int{"x": 3}
		require.NoError(t, cl.claimers[0].CommitCounts(ctx, 7, counts))
		require.NoError(t, cl.claimers[0].SetSize(ctx, "s", 5))
		first, _, _ := cl.claimers[0].Held()
		log.Restore(copied)
		cl.cancels[0]()
		time.Sleep(3 * ttl)
		second, _, ok := cl.claimers[1].Held()
		require.True(t, ok)
		require.Greater(t, second, first)
		require.Positive(t, cl.claimers[1].UncertainBefore(), "the first holder may have reported windows meanwhile")
		newcomer := &Claimer{Log: log, Instance: "entry-9", TTL: ttl, Logger: logr.Discard()}
		require.NoError(t, newcomer.readToEnd(ctx, 0))
		for _, c := range []*Claimer{cl.claimers[1], newcomer} {
			got, ok := c.CommittedCounts(7)
			require.True(t, ok)
			require.Equal(t, counts, got)
			size, ok := c.Size("s")
			require.True(t, ok)
			require.Equal(t, 5, size)
		}
		cancel()
		synctest.Wait()
	})
}

// The holder stops when it hears of a restore, and claims again before the others,
// since only it knows what it has reported.
func TestHolderStopsAtARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		log := &faker.Log{}
		cl := newCluster(ctx, 3, log)
		time.Sleep(2 * time.Second)
		cl.peersHidden.Store(true) // All candidates read the topic.
		log.Restore(log.Copy())
		cl.claimers[0].ObserveEra(2)
		require.Empty(t, cl.holders())
		for range int(ttl / (100 * time.Millisecond)) {
			time.Sleep(100 * time.Millisecond)
			require.Empty(t, cl.holders())
		}
		time.Sleep(time.Second)
		require.Equal(t, []int{0}, cl.holders())
		require.Zero(t, cl.claimers[0].UncertainBefore())
		cancel()
		synctest.Wait()
	})
}

// A holder that is no candidate any more, since others have joined that come first,
// hands the lease over. The counts that the duties need reach only candidates.
func TestHolderThatIsNoCandidateHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cl := buildCluster(2, &faker.Log{})
		var demoted atomic.Bool
		cl.claimers[0].Position = func() int {
			if demoted.Load() {
				return maxPosition + 1
			}
			return 0
		}
		cl.run(ctx)
		time.Sleep(2 * time.Second)
		require.Equal(t, []int{0}, cl.holders())
		demoted.Store(true)
		time.Sleep(handoverDelay / 2)
		demoted.Store(false) // Not for long enough.
		time.Sleep(handoverDelay)
		require.Equal(t, []int{0}, cl.holders())
		demoted.Store(true)
		time.Sleep(handoverDelay + 1500*time.Millisecond)
		require.Equal(t, []int{1}, cl.holders())
		cancel()
		synctest.Wait()
	})
}

// Guards against the loss of counts when all instances lose power between the
// end of a window and its report. The next holder must find the counts in the
// last renewal.
func TestRenewalsKeepCountsForTheNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		log := &faker.Log{}
		partial := savoryloft.PartialCounts{Window: 7, Sources: []string{"entry-0/1"}, Counts: map[string]int{"x": 5}}
		newClaimer := func(i int) *Claimer {
			return &Claimer{
				Log: log, Instance: fmt.Sprintf("entry-%d", i), Incarnation: 1, TTL: ttl, Logger: logr.Discard(),
				Position: func() int { return 0 }, PeerHoldsLease: func() bool { return false },
				YieldedAt: func(string, int) time.Duration { return 0 },
				Partials:  func() []savoryloft.PartialCounts { return []savoryloft.PartialCounts{partial} },
			}
		}
		first, second := newClaimer(0), newClaimer(1)
		firstCtx, kill := context.WithCancel(ctx)
		go func() { _ = first.Run(firstCtx) }()
		time.Sleep(3 * time.Second)
		_, ok := first.PartialCounts(7)
		require.False(t, ok, "partial counts of the same incarnation must be ignored")
		kill()
		go func() { _ = second.Run(ctx) }()
		time.Sleep(8 * time.Second)
		p, ok := second.PartialCounts(7)
		require.True(t, ok)
		require.Equal(t, partial, p)
		cancel()
		synctest.Wait()
	})
}
