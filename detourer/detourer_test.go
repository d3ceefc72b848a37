package detourer

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
)

func newDetourer(name string, upstreams int) *Detourer {
	return &Detourer{
		Instance: name, Incarnation: 1, Address: "10.0.0.1:1",
		Upstreams: func() []savoryloft.RegisteredUpstream {
			list := make([]savoryloft.RegisteredUpstream, upstreams)
			for i := range list {
				list[i].ID = fmt.Sprint(i)
			}
			return list
		},
		Dial:     func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED },
		PassesOn: func() bool { return false }, Accepting: func() bool { return true }, Broadcast: func() {},
		Logger: logr.Discard(), Metrics: metrics.NewRegistry(),
	}
}

// Guards against requests that take a detour because some upstreams have ended, and against
// those that do not although none can be reached.
func TestCutOff(t *testing.T) {
	const contact = -1
	for _, tt := range []struct {
		name      string
		upstreams int
		observed  []int // Upstreams that could not be reached, or contact.
		dials     bool  // Some upstream can be reached by a dial.
		want      bool
	}{
		{"nothing observed", 9, nil, false, false},
		{"one upstream again and again", 9, []int{1, 1, 1, 1, 1}, false, false},
		{"two upstreams", 9, []int{1, 2}, false, false},
		{"three upstreams", 9, []int{1, 2, 3}, false, true},
		{"three upstreams, others can be reached", 9, []int{1, 2, 3}, true, false},
		{"three upstreams, contact in between", 9, []int{1, 2, contact, 3}, false, false},
		{"the only upstream", 1, []int{0}, false, true},
		{"both upstreams", 2, []int{0, 1}, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				d := newDetourer("a", tt.upstreams)
				if tt.dials {
					d.Dial = dialPipe
				}
				go func() { _ = d.Run(ctx) }()
				synctest.Wait()
				for _, u := range tt.observed {
					if u == contact {
						d.ObserveContact()
					} else {
						d.ObserveFailure(fmt.Sprint(u))
					}
				}
				synctest.Wait()
				cutOff, canConnect := d.CutOff(), d.CanConnect(ctx)
				cancel()
				synctest.Wait()
				require.Equal(t, tt.want, cutOff)
				require.Equal(t, tt.dials, canConnect)
			})
		})
	}
}

// dialPipe is a dial that succeeds.
func dialPipe(context.Context, string) (net.Conn, error) {
	conn, peer := net.Pipe()
	_ = peer.Close()
	return conn, nil
}

// Guards against an instance that stays cut off after the partition, and against one that
// sends clients' requests to find out.
func TestProbesEndADetour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var dials atomic.Int64
		var healed atomic.Bool
		d := newDetourer("a", 9)
		d.Dial = func(context.Context, string) (net.Conn, error) {
			dials.Add(1)
			if !healed.Load() {
				return nil, syscall.ECONNREFUSED
			}
			return dialPipe(ctx, "")
		}
		go func() { _ = d.Run(ctx) }()
		time.Sleep(10 * time.Second)
		require.Zero(t, dials.Load())
		for i := range 3 {
			d.ObserveFailure(fmt.Sprint(i))
		}
		time.Sleep(10 * time.Second)
		require.True(t, d.CutOff())
		require.LessOrEqual(t, dials.Load(), int64(probedUpstreams*(10*time.Second/probeInterval+1)+cutOffFailures), "both ends and the confirmation included")
		healed.Store(true)
		time.Sleep(2 * probeInterval)
		require.False(t, d.CutOff())
		cancel()
		synctest.Wait()
	})
}

// Guards against requests that wait on connections that hang until these fail, and against
// probes while upstreams respond.
func TestSilenceOfAllUpstreamsIsProbed(t *testing.T) {
	for _, tt := range []struct {
		name     string
		reached  bool // By dials; they hang otherwise.
		sends    bool
		contact  bool // Some upstream responds all the time.
		cutOff   bool
		maxDials int64
	}{
		{"no requests", false, false, false, false, 0},
		{"upstreams respond", true, true, true, false, 0},
		{"upstreams are slow", true, true, false, false, 3},
		{"connections hang", false, true, false, true, 100},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				var dials atomic.Int64
				d := newDetourer("a", 9)
				d.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
					dials.Add(1)
					if !tt.reached {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					return dialPipe(ctx, "")
				}
				go func() { _ = d.Run(ctx) }()
				for range 25 { // 2.5 s; the rule begins to count 3 s after a cut.
					if tt.sends {
						d.ObserveSend()
					}
					if tt.contact {
						d.ObserveContact()
					}
					time.Sleep(100 * time.Millisecond)
				}
				require.Equal(t, tt.cutOff, d.CutOff())
				require.LessOrEqual(t, dials.Load(), tt.maxDials)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against requests to instances that are gone or could not take one just now, and
// against tokens of an earlier process.
func TestChooseAmongAnnouncedInstances(t *testing.T) {
	announced := func(name string, incarnation, age int) savoryloft.Detour {
		return savoryloft.Detour{Instance: name, Incarnation: incarnation, Address: "10.0.0.2:1", Token: fmt.Sprint("t", incarnation), Age: age}
	}
	old := int(targetTTL/time.Millisecond) + 1
	for _, tt := range []struct {
		name     string
		received []savoryloft.Detour
		pause    string
		tried    string
		token    string // Of the choice; empty for none.
	}{
		{"none", nil, "", "", ""},
		{"one", []savoryloft.Detour{announced("b", 1, 0)}, "", "", "t1"},
		{"itself", []savoryloft.Detour{announced("a", 1, 0)}, "", "", ""},
		{"announced long ago", []savoryloft.Detour{announced("b", 1, old)}, "", "", ""},
		{"tried", []savoryloft.Detour{announced("b", 1, 0)}, "", "b", ""},
		{"paused", []savoryloft.Detour{announced("b", 1, 0)}, "b", "", ""},
		{"started again", []savoryloft.Detour{announced("b", 1, 0), announced("b", 2, 5000)}, "", "", "t2"},
		{"an earlier process, later", []savoryloft.Detour{announced("b", 2, 5000), announced("b", 1, 0)}, "", "", "t2"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := newDetourer("a", 9)
			d.Merge(tt.received)
			d.Pause(tt.pause, RefusalPause)
			target, ok := d.Choose(map[string]bool{tt.tried: true})
			require.Equal(t, tt.token != "", ok)
			require.Equal(t, tt.token, target.Token)
		})
	}
}

// Guards against requests of processes that are no instances.
func TestAuthorize(t *testing.T) {
	a, b := newDetourer("a", 9), newDetourer("b", 9)
	require.True(t, a.Authorize(a.Announcements()[0].Token))
	require.False(t, a.Authorize(b.Announcements()[0].Token))
	require.False(t, a.Authorize(""))
	require.NoError(t, a.Announcements()[0].Check())
}

// Guards against instances that know no way round a partition of their whole failure domain.
func TestSampleHasAnotherFailureDomain(t *testing.T) {
	d := newDetourer("a", 9)
	d.FailureDomain, d.PassesOn = "x", func() bool { return true }
	for i := range 30 {
		domain := "x"
		if i == 17 {
			domain = "y"
		}
		d.Merge([]savoryloft.Detour{{Instance: fmt.Sprint("i-", i), Incarnation: 1, FailureDomain: domain, Address: "10.0.0.2:1", Token: "dA"}})
	}
	for range 100 {
		list := d.Announcements()
		require.Len(t, list, maxSample)
		require.True(t, slices.ContainsFunc(list, func(a savoryloft.Detour) bool { return a.FailureDomain == "y" }))
	}
}
