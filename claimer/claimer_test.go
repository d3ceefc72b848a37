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

// fleet is some claimers on one log.
type fleet struct {
	log      *faker.Log
	claimers []*Claimer
	cancels  []context.CancelFunc
	blind    atomic.Bool // The others do not see who leads.
	yielded  atomic.Bool // The first claimer is seen to say that it holds nothing.
}

func newFleet(ctx context.Context, n int, log *faker.Log) *fleet {
	f := &fleet{log: log}
	for i := range n {
		c := &Claimer{
			Log: log, Instance: fmt.Sprintf("entry-%d", i), Incarnation: 1, TTL: ttl, Logger: logr.Discard(),
			Position: func() int { return i },
			OtherLeads: func() bool {
				for j := range f.claimers {
					if _, _, ok := f.claimers[j].Held(); ok && j != i && !f.blind.Load() {
						return true
					}
				}
				return false
			},
			Yielded: func(instance string, _ int) time.Duration {
				if _, yields := f.claimers[0].Standing(); instance != "entry-0" || !yields || !f.yielded.Load() {
					return 0
				}
				return savoryloft.Uptime()
			},
		}
		f.claimers = append(f.claimers, c)
	}
	// All claimers exist before the first one looks at the others.
	for _, c := range f.claimers {
		claimerCtx, cancel := context.WithCancel(ctx)
		f.cancels = append(f.cancels, cancel)
		go func() { _ = c.Run(claimerCtx) }()
	}
	return f
}

// holders returns the claimers that hold the lease now.
func (f *fleet) holders() []int {
	var held []int
	for i, c := range f.claimers {
		if _, _, ok := c.Held(); ok {
			held = append(held, i)
		}
	}
	return held
}

func TestOneClaimsAndRenews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, 3, &faker.Log{})
		time.Sleep(2 * time.Second)
		require.Equal(t, []int{0}, f.holders())
		before := f.log.Calls()
		time.Sleep(10 * time.Second)
		require.Equal(t, []int{0}, f.holders())
		require.LessOrEqual(t, f.log.Calls()-before, 12, "renewals only; the others need no calls")
		cancel()
		synctest.Wait()
	})
}

func TestLeaseOfAKilledHolderPassesAfterItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, 3, &faker.Log{})
		time.Sleep(5 * time.Second)
		f.cancels[0]()
		time.Sleep(ttl)
		require.Empty(t, f.holders())
		time.Sleep(ttl + time.Second)
		require.Equal(t, []int{1}, f.holders())
		first, _, _ := f.claimers[0].Held()
		second, _, _ := f.claimers[1].Held()
		require.Greater(t, second, first)
		cancel()
		synctest.Wait()
	})
}

func TestReleaseAndYieldPassTheLeaseOnSoon(t *testing.T) {
	for _, tt := range []struct {
		name    string
		release bool
		within  time.Duration
	}{
		{"a planned stop releases", true, 1500 * time.Millisecond},
		{"a holder that was cut off says that it holds nothing", false, 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				f := newFleet(ctx, 2, &faker.Log{})
				time.Sleep(5 * time.Second)
				if tt.release {
					require.NoError(t, f.claimers[0].Release(ctx))
				}
				f.cancels[0]()
				for len(f.holders()) > 0 && !tt.release {
					time.Sleep(100 * time.Millisecond)
				}
				f.yielded.Store(true)
				time.Sleep(tt.within)
				require.Equal(t, []int{1}, f.holders())
				cancel()
				synctest.Wait()
			})
		})
	}
}

// A delayed renewal that takes effect seconds later counts from its own
// sending, not from that of a later one.
func TestDelayedRenewalCountsFromItsOwnSending(t *testing.T) {
	var term term
	mine := func(kind savoryloft.DutyRecordKind, sequence int) savoryloft.DutyRecord {
		return savoryloft.DutyRecord{Instance: "a", Incarnation: 1, Sequence: sequence, Kind: kind}
	}
	s1 := term.sending(10 * time.Second)
	term.observe(10*time.Second, 0, mine(savoryloft.DutyRecordKindClaim, s1), true, ttl)
	s2 := term.sending(11 * time.Second)
	term.sending(12 * time.Second)
	term.observe(12500*time.Millisecond, 1, mine(savoryloft.DutyRecordKindRenewal, s2), true, ttl)
	left, ok := term.held(12500 * time.Millisecond)
	require.True(t, ok)
	require.Equal(t, 1500*time.Millisecond, left)
}

// Appends are lost, late and refused, calls take up to a second, claimers stop
// and start: whoever acts never does so while another may.
func TestNeverTwoHolders(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { walk(t, seed) })
		})
	}
}

func walk(t *testing.T, seed uint64) {
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
		Decide: func() faker.Fate {
			return []faker.Fate{
				faker.Acknowledged, faker.Acknowledged, faker.Acknowledged, faker.Acknowledged,
				faker.Lost, faker.Late, faker.Refused,
			}[draw(7)]
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := newFleet(ctx, 3, log)
	fences := map[int]int{}
	for step := range 600 {
		time.Sleep(50 * time.Millisecond)
		if step%40 == 0 {
			f.blind.Store(draw(2) == 0)
			log.SetDown(draw(5) == 0)
		}
		held := f.holders()
		require.LessOrEqual(t, len(held), 1, "step %d", step)
		if len(held) == 1 {
			fence, _, _ := f.claimers[held[0]].Held()
			owner, ok := fences[fence]
			require.True(t, !ok || owner == held[0], "fence %d of two holders", fence)
			fences[fence] = held[0]
		}
	}
	cancel()
	time.Sleep(10 * time.Second)
	synctest.Wait()
}

// All instances lose power between a window's end and its report: the next
// holder finds the counts in the last renewal.
func TestRenewalsKeepCountsForTheNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		log := &faker.Log{}
		kept := savoryloft.PartialCounts{Window: 7, Sources: []string{"entry-0/1"}, Counts: map[string]int{"x": 5}}
		claim := func(i int) *Claimer {
			return &Claimer{
				Log: log, Instance: fmt.Sprintf("entry-%d", i), Incarnation: 1, TTL: ttl, Logger: logr.Discard(),
				Position: func() int { return 0 }, OtherLeads: func() bool { return false },
				Yielded:  func(string, int) time.Duration { return 0 },
				Partials: func() []savoryloft.PartialCounts { return []savoryloft.PartialCounts{kept} },
			}
		}
		first, second := claim(0), claim(1)
		firstCtx, kill := context.WithCancel(ctx)
		go func() { _ = first.Run(firstCtx) }()
		time.Sleep(3 * time.Second)
		_, ok := first.Partial(7)
		require.False(t, ok, "an incarnation knows its own counts better")
		kill()
		go func() { _ = second.Run(ctx) }()
		time.Sleep(8 * time.Second)
		p, ok := second.Partial(7)
		require.True(t, ok)
		require.Equal(t, kept, p)
		cancel()
		synctest.Wait()
	})
}
