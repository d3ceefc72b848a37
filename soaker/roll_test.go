package soaker

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/platform/standin"
)

const (
	rollTime          = 14 * time.Second
	rollBound         = 2 * time.Second        // As in the settings: from the operator's acknowledgement until a configuration is in force.
	rollbackSlack     = 250 * time.Millisecond // After an instance has shown a configuration, until it must not show an older one.
	routesInForce     = 12                     // Routes of the latest configurations that are in force.
	probePause        = 150 * time.Millisecond
	minRollServed     = 0.8 // Of the probes of a route in force, at instances that are not disturbed.
	rollingInstances  = 8   // In CI.
	frozenAtMost      = 1500 * time.Millisecond
	storeLostAtMost   = 3 * time.Second
	storeLostShare    = 6   // One of so many instances.
	maxRollPause      = 400 // ms between the replacements of two instances.
	maxChangePause    = 900 // ms between two configurations.
	defaultRollsSeeds = "1"
)

// TestRollSoak runs each seed in SOAK_ROLLS with SOAK_INSTANCES instances: all run the build
// in SOAK_OTHER, if that is set, and are replaced by this one, several at a time, while
// configurations come in quick succession and instances are killed, frozen and added amid
// them. Every second seed goes from this build back to the other one.
//
// Guards against configurations that are not in force in time after their acknowledgement, at
// the hubs and readers of two builds and at instances that start or wake amid a change, and
// against ones that come back older.
func TestRollSoak(t *testing.T) {
	seeds := os.Getenv("SOAK_ROLLS")
	if seeds == "" {
		seeds = defaultRollsSeeds
	}
	before := instanceCount
	t.Cleanup(func() { instanceCount = before })
	instanceCount = rollingInstances
	if n, err := strconv.Atoi(os.Getenv("SOAK_INSTANCES")); err == nil {
		instanceCount = n
	}
	binary := filepath.Join(t.TempDir(), "savoryloft")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/savoryloft").CombinedOutput()
	require.NoError(t, err, "%s", out)
	for _, field := range strings.Fields(seeds) {
		seed, err := strconv.ParseUint(field, 10, 64)
		require.NoError(t, err)
		t.Run(field, func(t *testing.T) { soakRoll(t, binary, seed) })
	}
}

// change is a configuration as the operator knows it: it adds a route and drops another one.
type change struct {
	version     int
	sent, acked time.Time
	routes      []string // In force.
}

// probe is a request that shows whether a route is in force at an instance.
type probe struct {
	instance    *instance
	boot        int
	other       bool // The instance ran the other build.
	route       string
	sent, ended time.Time
	status      int
}

// roll is the roll of a fleet to another build.
type roll struct {
	*soakRun
	mu      sync.Mutex
	changes []change
	probes  []probe
	boots   map[*instance]int
}

func soakRoll(t *testing.T, binary string, seed uint64) {
	s := newSoakRun(t, binary, seed)
	s.oneVersion, s.rolling = true, true
	s.startsOther = seed%2 == 1
	s.startAll()
	order := s.rng.Perm(len(s.instances))
	r := &roll{soakRun: s, boots: map[*instance]int{}}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { r.publish(stop) })
	for _, n := range s.instances {
		group.Go(func() { r.probe(n, stop) })
	}
	time.Sleep(time.Second)
	replaced := make(chan struct{})
	group.Go(func() {
		defer close(replaced)
		var replacements sync.WaitGroup
		for _, i := range order {
			replacements.Go(func() { r.replace(s.instances[i]) })
			time.Sleep(time.Duration(s.randomInt(min(maxRollPause, int(rollTime.Milliseconds())/len(order)))) * time.Millisecond)
		}
		replacements.Wait()
	})
	for end := time.Now().Add(rollTime); time.Now().Before(end); {
		n := s.instances[s.randomInt(len(s.instances))]
		switch s.randomInt(10) {
		case 0:
			r.restart(n, 0)
		case 1:
			frozen := time.Duration(s.randomInt(int(frozenAtMost)))
			n.excuse(time.Now().Add(frozen))
			n.signal(syscall.SIGSTOP)
			group.Go(func() {
				time.Sleep(frozen)
				n.signal(syscall.SIGCONT)
			})
		case 2:
			n.signal(syscall.SIGHUP)
		case 3:
			group.Go(func() { r.loseStore(time.Duration(s.randomInt(int(storeLostAtMost)))) })
		}
		time.Sleep(time.Duration(s.randomInt(800)) * time.Millisecond)
	}
	<-replaced
	time.Sleep(contactTime)
	close(stop)
	group.Wait()
	r.check()
	s.checkLinks()
	s.checkProcesses()
}

// publish publishes configurations until stop closes.
func (r *roll) publish(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+r.randomInt(maxChangePause)) * time.Millisecond):
		}
		r.soakRun.mu.Lock()
		r.extraRoutes = append(r.extraRoutes, fmt.Sprint("added", r.version+1))
		r.extraRoutes = r.extraRoutes[max(len(r.extraRoutes)-routesInForce, 0):]
		c := change{version: r.version + 1, routes: slices.Clone(r.extraRoutes), sent: time.Now()}
		r.soakRun.mu.Unlock()
		r.publishConfiguration()
		c.acked = time.Now()
		r.mu.Lock()
		r.changes = append(r.changes, c)
		r.mu.Unlock()
	}
}

// replace stops an instance as a platform does and starts the other build in its place.
func (r *roll) replace(n *instance) {
	n.restarts.Lock()
	defer n.restarts.Unlock()
	n.mu.Lock()
	n.stopped = append(n.stopped, span{time.Now(), time.Now().Add(stopTime + contactTime)})
	stop, done := len(n.stopped)-1, n.done
	n.mu.Unlock()
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(stopTime):
		n.kill()
	}
	r.boot(n)
	n.mu.Lock()
	n.other = !n.other && otherBinary != ""
	n.mu.Unlock()
	n.start(r.soakRun)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped[stop].to = time.Now().Add(contactTime)
}

// loseStore takes the way to the store from some instances for a time, readers among them at
// times. The others have to know configurations in time all the same.
func (r *roll) loseStore(length time.Duration) {
	var lost []*Proxy
	for i, n := range r.instances {
		if r.randomInt(storeLostShare) == 0 {
			n.excuse(time.Now().Add(length))
			p := r.proxies[engineCount+i] // After those of the engines.
			p.SetMode(Mode(1 + r.randomInt(int(modeCount)-1)))
			lost = append(lost, p)
		}
	}
	time.Sleep(length)
	for _, p := range lost {
		p.SetMode(Forward)
	}
}

// restart kills an instance and starts it again.
func (r *roll) restart(n *instance, away time.Duration) {
	r.boot(n)
	n.restart(r.soakRun, away)
	r.boot(n)
}

// boot marks the end of one life of an instance's process.
func (r *roll) boot(n *instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.boots[n]++
}

// probe sends requests on routes that were just added or dropped to an instance until stop
// closes.
func (r *roll) probe(n *instance, stop <-chan struct{}) {
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		case <-time.After(probePause):
		}
		r.mu.Lock()
		list := slices.Clone(r.changes)
		p := probe{instance: n, boot: r.boots[n], other: r.runsOther(n)}
		r.mu.Unlock()
		if len(list) == 0 {
			continue
		}
		newest := list[len(list)-1]
		p.route = fmt.Sprint("added", max(newest.version-r.randomInt(2*routesInForce), 1))
		id := fmt.Sprintf("probe-%d", r.lastID.Add(1))
		request, err := standin.Call{Address: n.ip + ":7101", Host: host, Route: p.route, ID: id, APIKey: r.validKey(), Body: id}.Request()
		require.NoError(r.t, err)
		p.sent = time.Now()
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		p.status, p.ended = response.StatusCode, time.Now()
		r.mu.Lock()
		if r.boots[n] == p.boot {
			r.probes = append(r.probes, p)
		}
		r.mu.Unlock()
	}
}

// runsOther reports whether an instance runs the other build.
func (r *roll) runsOther(n *instance) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.other
}

// addedBy returns the first change with a route and the first one without it after that.
func (r *roll) addedBy(route string) (added, dropped *change) {
	for i := range r.changes {
		c := &r.changes[i]
		switch has := slices.Contains(c.routes, route); {
		case has && added == nil:
			added = c
		case !has && added != nil:
			return added, c
		}
	}
	return added, nil
}

// check compares the responses with the operator's acknowledgements, and those of each life of
// a process with its earlier ones.
func (r *roll) check() {
	served, inForce, slowest := 0, 0, time.Duration(0)
	type life struct {
		instance *instance
		boot     int
	}
	shown := map[life][]probe{}
	statuses := map[int]int{}
	for _, p := range r.probes {
		statuses[p.status]++
		added, dropped := r.addedBy(p.route)
		if added == nil {
			continue
		}
		inTouch := !p.other && p.instance.inTouch(p.sent.Add(-contactTime), p.ended)
		where := fmt.Sprintf("%s, other build: %t, route %s, sent %s after the acknowledgement, status %d",
			p.instance.ip, p.other, p.route, p.sent.Sub(added.acked), p.status)
		stays := dropped == nil || p.ended.Before(dropped.sent)
		isDropped := dropped != nil && p.sent.After(dropped.acked.Add(rollBound))
		if inTouch && stays && p.status == http.StatusNotFound {
			slowest = max(slowest, p.sent.Sub(added.acked))
		}
		if inTouch && p.sent.After(added.acked.Add(rollBound)) && stays {
			require.NotContains(r.t, []int{http.StatusNotFound, http.StatusUnauthorized, http.StatusForbidden}, p.status, "route in force refused: %s", where)
			inForce++
			if p.status == http.StatusOK {
				served++
			}
		}
		if inTouch && isDropped {
			require.NotEqual(r.t, http.StatusOK, p.status, "dropped route served: %s", where)
		}
		key := life{p.instance, p.boot}
		for _, earlier := range shown[key] {
			if !p.sent.After(earlier.ended.Add(rollbackSlack)) {
				continue
			}
			first, _ := r.addedBy(earlier.route)
			if first.version >= added.version && stays {
				require.NotEqual(r.t, http.StatusNotFound, p.status, "an older configuration than that of %s came back: %s", earlier.route, where)
			}
			if dropped != nil && first.version >= dropped.version {
				require.NotEqual(r.t, http.StatusOK, p.status, "a configuration before that of %s came back: %s", earlier.route, where)
			}
		}
		if p.status == http.StatusOK {
			shown[key] = append(shown[key], p)
		}
	}
	r.t.Logf("configurations: %d, last refused %s after the acknowledgement, probes by status: %v, of routes in force at instances in touch: %d, served: %d", len(r.changes), slowest, statuses, inForce, served)
	require.NotZero(r.t, inForce)
	require.GreaterOrEqual(r.t, float64(served), minRollServed*float64(inForce))
}
