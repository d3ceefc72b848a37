package launcher

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/platform/standin"
)

// Beginnings of the bodies of streams; engines act on them.
const (
	soundBody     = "sound"
	breakingBody  = "break"   // The run that begins the stream breaks off after two events.
	fragileBody   = "fragile" // Each run breaks off after two events.
	unstartedBody = "drop"    // The first run is broken off before its first event.
	streamCount   = 24        // Streams of a test.
	streamEvents  = 12        // Events of a stream.
)

// versions is a cluster whose upstreams have software versions, and clients of its streams.
type versions struct {
	*cluster
	interval  time.Duration // Between events.
	processes []*standin.Process
	lastID    atomic.Int64

	mu  sync.Mutex      // Also guards engines.
	ran map[string]bool // Attempts with unstartedBody that have run.
}

func newVersions(t *testing.T) *versions {
	return &versions{cluster: newCluster(t), interval: 50 * time.Millisecond, ran: map[string]bool{}}
}

// newEngine returns an engine with a version.
func (v *versions) newEngine(id, version string) *standin.Engine {
	e := &standin.Engine{ID: id, Version: version, EventCount: streamEvents, EventInterval: v.interval, Decide: v.decide}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.engines = append(v.engines, e)
	return e
}

func (v *versions) decide(r *http.Request) standin.Behaviour {
	body := make([]byte, len(fragileBody))
	n, _ := r.Body.Read(body)
	switch kind, _, _ := strings.Cut(string(body[:n]), " "); {
	case kind == fragileBody, kind == breakingBody && !standin.IsResumption(r):
		return standin.TruncateStream
	case kind == unstartedBody && !standin.IsResumption(r):
		v.mu.Lock()
		defer v.mu.Unlock()
		if !v.ran[standin.AttemptID(r)] {
			v.ran[standin.AttemptID(r)] = true
			return standin.DropResponse
		}
	}
	return standin.Normal
}

// add starts an upstream of each version. They register themselves.
func (v *versions) add(list ...string) {
	for _, version := range list {
		p := &standin.Process{Engine: v.newEngine(fmt.Sprintf("i-%d", len(v.processes)), version), IP: v.ip, DownTime: 10 * time.Millisecond}
		require.NoError(v.t, p.Start())
		v.t.Cleanup(p.Stop)
		v.processes = append(v.processes, p)
		v.register(p)
	}
}

// register writes the entry of a process to the registry.
func (v *versions) register(p *standin.Process) {
	e := p.CurrentEngine()
	v.log.Set(savoryloft.TopicRegistry, e.ID, e.RegistryEntry(p.Address(), "ready", streamCount))
}

// replace ends an upstream, which comes back with its ID and another version. The registry
// shows its old entry.
func (v *versions) replace(p *standin.Process, version string) {
	p.Replace(v.newEngine(p.CurrentEngine().ID, version))
}

// startInstances starts n instances that know all upstreams.
func (v *versions) startInstances(n int) {
	for range n {
		v.waitForUpstreams(v.start(longRevocation), len(v.processes))
	}
}

// stopInstances stops all instances. The log is away meanwhile, so that they store no more
// than if they had been killed.
func (v *versions) stopInstances() {
	v.log.SetDown(true)
	for _, i := range v.instances {
		i.abort()
	}
	for _, i := range v.instances {
		require.NoError(v.t, <-i.done)
	}
	v.log.SetDown(false)
	v.instances = nil
}

// client returns a client whose tries reach the instances in turn, from one on.
func (v *versions) client(first int) *standin.Client {
	tries := 0
	return &standin.Client{Tries: 3, Timeout: 6 * time.Second, Next: func() (string, string) {
		i := v.instances[(first+tries)%len(v.instances)]
		tries++
		return fmt.Sprintf("try-%d", v.lastID.Add(1)), strings.TrimPrefix(i.url, "http://")
	}}
}

// call returns the call of a stream.
func (v *versions) call(body string) standin.Call {
	id := v.lastID.Add(1)
	return standin.Call{
		Host: host, Route: "resume", APIKey: "key-1", Timeout: 6 * time.Second,
		Body: fmt.Sprintf("%s %d", body, id), PromptParts: fmt.Sprintf("own-%d:40", id),
	}
}

// begin begins streams, all within spread, and leaves them after another span of it.
func (v *versions) begin(body string, spread time.Duration) []*standin.ClientStream {
	ctx, cancel := context.WithTimeout(context.Background(), 2*spread)
	defer cancel()
	return v.each(func(n int, s *standin.ClientStream) {
		time.Sleep(spread * time.Duration(n) / streamCount)
		c := v.call(body)
		c.ID, c.Address = v.client(n).Next()
		s.Try(ctx, c)
	})
}

// each runs a function for each of some new streams at the same time.
func (v *versions) each(run func(n int, s *standin.ClientStream)) []*standin.ClientStream {
	streams := make([]*standin.ClientStream, streamCount)
	var group sync.WaitGroup
	for n := range streams {
		streams[n] = &standin.ClientStream{}
		group.Go(func() { run(n, streams[n]) })
	}
	group.Wait()
	return streams
}

// takeUp takes up streams at other instances than those that began them.
func (v *versions) takeUp(streams []*standin.ClientStream) {
	var group sync.WaitGroup
	for n, s := range streams {
		group.Go(func() { v.client(n + 1).TakeUp(s) })
	}
	group.Wait()
}

// checkVersions requires that no stream holds events of two versions, or an event twice
// or not at all.
func (v *versions) checkVersions(streams []*standin.ClientStream) {
	for _, s := range streams {
		require.LessOrEqual(v.t, len(s.Versions()), 1, "events of versions %v: %+v", s.Versions(), s.Tries)
		require.True(v.t, s.Ordered(), "%+v", s.Tries)
	}
}

// checkShares requires that the streams that were taken up went on.
func (v *versions) checkShares(streams []*standin.ClientStream) {
	shares := standin.CountShares(streams, func(*standin.StreamTry, string) bool { return true })
	v.t.Logf("%+v", shares)
	require.Equal(v.t, streamCount, shares.New)
	require.GreaterOrEqual(v.t, shares.Begun, streamCount*3/4)
	require.GreaterOrEqual(v.t, shares.TakenUp, streamCount/2, "the test needs streams that are taken up")
	require.True(v.t, shares.Fair(), "%+v", shares)
}

// requireRefused requires that the last tries of streams were refused and not run.
func (v *versions) requireRefused(streams []*standin.ClientStream) {
	refusals := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	for _, s := range streams {
		t := s.Tries[len(s.Tries)-1]
		require.Contains(v.t, refusals, t.Status, "%+v", t)
		require.Zero(v.t, v.startedRuns(t.Call.ID), "%+v", t)
	}
}

// Guards against a response that goes on at an upstream of another version after the run
// that began it has broken off.
func TestBrokenStreamKeepsItsVersion(t *testing.T) {
	for _, tt := range []struct {
		name      string
		upstreams []string
		body      string
		whole     bool // The streams go on.
	}{
		{"the other upstream has another version", []string{"v1", "v2"}, breakingBody, false},
		{"one of three has the same", []string{"v1", "v2", "v1", "v2"}, breakingBody, true},
		{"most have another", []string{"v1", "v2", "v1", "v2", "v2", "v2", "v2", "v2"}, breakingBody, false},
		{"each run breaks", []string{"v1", "v2", "v1", "v2", "v1", "v2"}, fragileBody, false},
		{"begun by the second run", []string{"v1", "v2"}, unstartedBody, true},
		{"all have the same", []string{"v1", "v1", "v1"}, breakingBody, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			v := newVersions(t)
			v.add(tt.upstreams...)
			v.startInstances(1)
			whole := 0
			streams := v.each(func(n int, s *standin.ClientStream) {
				time.Sleep(time.Duration(n) * 40 * time.Millisecond)
				c := v.call(soundBody)
				if n%4 == 0 {
					c = v.call(tt.body)
				}
				c.ID, c.Address = v.client(n).Next()
				s.Try(context.Background(), c)
			})
			v.checkVersions(streams)
			for _, s := range streams {
				if s.Complete() {
					whole++
				}
			}
			t.Logf("%d of %d streams were whole", whole, streamCount)
			require.GreaterOrEqual(t, whole, streamCount*3/4, "all but the broken ones")
			if tt.whole {
				require.Equal(t, streamCount, whole)
			}
		})
	}
}

// Guards against streams that their clients take up at another instance, or after all
// instances were lost, and that go on at another version than the one that began them, or
// do not go on although it serves.
func TestTakenUpStreamKeepsItsVersion(t *testing.T) {
	for _, tt := range []struct {
		name, body string
		instances  int
		between    func(v *versions)
		mayLose    bool // The streams need not go on.
	}{
		{"at another instance", soundBody, 2, func(*versions) {}, false},
		{"at the same instance", soundBody, 1, func(*versions) {}, false},
		{"begun by the second run", unstartedBody, 2, func(*versions) {}, false},
		{"all instances were lost", soundBody, 2, func(v *versions) {
			v.stopInstances()
			v.startInstances(2)
		}, false},
		{"the only instance was lost", soundBody, 1, func(v *versions) {
			v.stopInstances()
			v.startInstances(1)
		}, false},
		{"all instances were lost twice", soundBody, 2, func(v *versions) {
			for range 2 {
				v.stopInstances()
				v.startInstances(2)
			}
		}, false},
		{"the log is away", soundBody, 2, func(v *versions) { v.log.SetDown(true) }, true},
		{"a third version has come", soundBody, 2, func(v *versions) {
			v.add("v3", "v3")
			for _, i := range v.instances {
				v.waitForUpstreams(i, len(v.processes))
			}
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			v := newVersions(t)
			v.interval = 200 * time.Millisecond
			v.add("v1", "v2", "v1", "v2")
			v.startInstances(tt.instances)
			streams := v.begin(tt.body, 600*time.Millisecond)
			tt.between(v)
			v.takeUp(streams)
			v.checkVersions(streams)
			if !tt.mayLose {
				v.checkShares(streams)
			}
		})
	}
}

// Guards against a stream whose runs break off again and again and that goes on at another
// version in a later try.
func TestStreamOfManyRunsKeepsItsVersion(t *testing.T) {
	v := newVersions(t)
	v.add("v1", "v2", "v1", "v2")
	v.startInstances(2)
	streams := v.each(func(n int, s *standin.ClientStream) {
		body := soundBody
		if n%4 == 0 {
			body = fragileBody
		}
		time.Sleep(time.Duration(n) * 40 * time.Millisecond)
		*s = *v.client(n).Stream(v.call(body))
	})
	v.checkVersions(streams)
}

// Guards against a stream that goes on at another version after all upstreams of its own
// have left.
func TestTakeUpAfterTheVersionHasLeft(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprintf("instances restarted: %t", restarted), func(t *testing.T) {
			t.Parallel()
			v := newVersions(t)
			v.interval = 200 * time.Millisecond
			v.add("v1", "v1")
			v.startInstances(2)
			streams := v.begin(soundBody, 600*time.Millisecond)
			v.checkVersions(streams)
			old := v.processes
			v.add("v2", "v2")
			for _, p := range old {
				v.log.Set(savoryloft.TopicRegistry, p.CurrentEngine().ID, nil)
				p.Stop()
			}
			v.processes = v.processes[len(old):]
			if restarted {
				v.stopInstances()
				v.startInstances(2)
			}
			for _, i := range v.instances {
				require.Eventually(t, func() bool {
					list := i.launcher.watcher.Upstreams("s")
					return len(list) == 2 && !slices.ContainsFunc(list, func(u savoryloft.RegisteredUpstream) bool { return u.Version == "v1" })
				}, eventuallyTimeout, 10*time.Millisecond)
			}
			v.takeUp(streams)
			v.checkVersions(streams)
			v.requireRefused(streams)
			for n := range 4 {
				require.True(t, v.client(n).Stream(v.call(soundBody)).Complete(), "new streams begin")
			}
		})
	}
}

// Guards against a stream that goes on at an upstream whose ID has come back with another
// version while the registry still shows its old entry.
func TestReturnedIDWithAnotherVersion(t *testing.T) {
	t.Run("taken up", func(t *testing.T) {
		t.Parallel()
		v := newVersions(t)
		v.interval = 200 * time.Millisecond
		v.add("v1", "v1")
		v.startInstances(2)
		streams := v.begin(soundBody, 600*time.Millisecond)
		for _, p := range v.processes {
			v.replace(p, "v2")
		}
		v.takeUp(streams)
		v.checkVersions(streams)
		for _, p := range v.processes {
			v.register(p)
		}
		require.Eventually(t, func() bool { return v.client(0).Stream(v.call(soundBody)).Complete() }, eventuallyTimeout, 50*time.Millisecond, "new streams begin")
		v.takeUp(streams)
		v.checkVersions(streams)
	})
	t.Run("broken off by it", func(t *testing.T) {
		t.Parallel()
		v := newVersions(t)
		v.interval = 200 * time.Millisecond
		v.add("v1", "v1")
		v.startInstances(2)
		time.AfterFunc(time.Second, func() { v.replace(v.processes[0], "v2") })
		time.AfterFunc(1500*time.Millisecond, func() { v.replace(v.processes[1], "v2") })
		v.checkVersions(v.each(func(n int, s *standin.ClientStream) {
			time.Sleep(time.Duration(n) * 20 * time.Millisecond)
			*s = *v.client(n).Stream(v.call(soundBody))
		}))
	})
	t.Run("begun by it", func(t *testing.T) {
		t.Parallel()
		v := newVersions(t)
		v.add("v1", "v1")
		v.startInstances(2)
		v.replace(v.processes[0], "v2")
		streams := v.each(func(n int, s *standin.ClientStream) {
			body := soundBody
			if n%4 == 0 {
				body = breakingBody
			}
			time.Sleep(time.Duration(n) * 40 * time.Millisecond)
			*s = *v.client(n).Stream(v.call(body))
		})
		v.checkVersions(streams)
		for _, s := range streams {
			require.NotEmpty(t, s.Versions(), "upstreams of the registry's version serve: %+v", s.Tries)
		}
	})
	t.Run("begun by it, and registered later", func(t *testing.T) {
		t.Parallel()
		v := newVersions(t)
		v.interval = 200 * time.Millisecond
		v.add("v1", "v1")
		v.startInstances(2)
		v.replace(v.processes[0], "v2")
		streams := v.begin(soundBody, 600*time.Millisecond)
		v.register(v.processes[0])
		v.takeUp(streams)
		v.checkVersions(streams)
	})
}

// Guards against a stream of unknown origin that goes on at a version that is guessed, and
// against its refusal where there is only one.
func TestTakeUpOfUnknownOrigin(t *testing.T) {
	for _, tt := range []struct {
		name, resumes string
		upstreams     []string
		bootstrap     bool // No stream can have begun before.
		goesOn        bool
	}{
		{"none named, two versions", "", []string{"v1", "v2", "v1", "v2"}, true, false},
		{"unknown, two versions", "unknown", []string{"v1", "v2", "v1", "v2"}, true, false},
		{"none named, one version", "", []string{"v1", "v1"}, true, true},
		{"unknown, one version", "unknown", []string{"v1", "v1"}, true, true},
		{"unknown, one version now", "unknown", []string{"v1", "v1"}, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			v := newVersions(t)
			v.interval, v.bootstrap = 200*time.Millisecond, tt.bootstrap
			v.add(tt.upstreams...)
			v.startInstances(2)
			streams := v.begin(soundBody, 600*time.Millisecond)[:6]
			for n, s := range streams {
				c := s.TakeUp(v.client(n + 1).Next())
				c.Resumes = tt.resumes
				s.Try(context.Background(), c)
				require.Equal(t, tt.goesOn, s.Complete(), "%+v", s.Tries)
				require.True(t, s.Ordered(), "%+v", s.Tries)
			}
			if !tt.goesOn {
				v.requireRefused(streams)
			}
		})
	}
}

// Guards against a stream that is refused, or an upstream that is avoided, since a kept
// connection had been dropped when the upstream was asked for its start time.
func TestDroppedConnectionIsReplacedBeforeAStream(t *testing.T) {
	c := newCluster(t)
	e := &standin.Engine{ID: "i-0", EventCount: 6, EventInterval: 5 * time.Millisecond}
	used := sync.Map{}
	server := c.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := used.Swap(r.RemoteAddr, true); ok && strings.HasSuffix(r.URL.Path, "/report") {
			conn, _, err := w.(http.Hijacker).Hijack()
			require.NoError(t, err)
			_ = conn.Close()
			return
		}
		e.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	e.Start()
	c.engines = append(c.engines, e)
	c.register(e.ID, server.Listener.Addr().String(), "ready")
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 1)
	require.Equal(t, http.StatusOK, c.call(i, "once", "key-1").status)
	resp := c.call(i, "resume", "key-1")
	require.NoError(t, resp.err)
	require.Equal(t, http.StatusOK, resp.status, resp.body)
}
