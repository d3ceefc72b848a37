package soaker

import (
	"context"
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
	troubleTime    = 4500 * time.Millisecond // Longest trouble of an instance in TestReleaseSoak.
	joinSpread     = 3 * time.Second         // Within which a second version begins to join, from before the trouble on.
	leaveGap       = 2 * time.Second         // Without an event, after which clients leave.
	releaseRunTime = 9 * time.Second
	movedStreams   = 24                     // That clients take up at other instances.
	movedSpread    = 700 * time.Millisecond // Within which they begin.
)

// TestReleaseSoak runs each seed in SOAK_RELEASES, by default three: a second software
// version joins, and may leave again, while an instance is in trouble.
//
// Guards against streams that do not go on at the other instances, or that go on at another
// version there or at the one in trouble.
func TestReleaseSoak(t *testing.T) {
	seeds := os.Getenv("SOAK_RELEASES")
	if seeds == "" {
		seeds = "1 2 3"
	}
	binary := filepath.Join(t.TempDir(), "savoryloft")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/savoryloft").CombinedOutput()
	require.NoError(t, err, "%s", out)
	for _, field := range strings.Fields(seeds) {
		seed, err := strconv.ParseUint(field, 10, 64)
		require.NoError(t, err)
		t.Run(field, func(t *testing.T) { soakRelease(t, binary, seed) })
	}
}

func soakRelease(t *testing.T, binary string, seed uint64) {
	s := newSoakRun(t, binary, seed)
	s.oneVersion = true
	s.startAll()
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range streamClients {
		group.Go(func() { s.runStreamClient(stop) })
	}
	time.Sleep(time.Second)
	began := time.Now()
	n := s.instances[s.randomInt(len(s.instances))]
	others := slices.DeleteFunc(slices.Clone(s.instances), func(o *instance) bool { return o == n })
	group.Go(func() {
		time.Sleep(time.Duration(s.randomInt(int(joinSpread))))
		s.join()
	})
	time.Sleep(time.Second)
	length := troubleTime/2 + time.Duration(s.randomInt(int(troubleTime/2)))
	// Streams of the instance in trouble are taken up at the others, and theirs at that
	// instance when it is back.
	group.Go(func() {
		s.moveStreams([]*instance{n}, others, movedSpread+leaveGap+time.Duration(s.randomInt(int(length/2))))
	})
	group.Go(func() {
		time.Sleep(time.Duration(s.randomInt(int(length))))
		s.moveStreams(others, []*instance{n}, time.Until(began.Add(time.Second+movedSpread+length)))
	})
	time.Sleep(movedSpread)
	s.trouble(&group, n, length)
	time.Sleep(time.Until(began.Add(releaseRunTime)))
	close(stop)
	group.Wait()
	s.checkRequests()
	s.checkStreamsBeside(began)
	s.checkLinks()
	s.checkProcesses()
}

// moveStreams begins streams at some instances, leaves them after a time and takes them up
// at others.
func (s *soakRun) moveStreams(from, to []*instance, after time.Duration) {
	var group sync.WaitGroup
	for i := range movedStreams {
		group.Go(func() {
			time.Sleep(movedSpread * time.Duration(i) / movedStreams)
			call := s.newStreamCall(slowBody)
			client := s.newStreamClient(call, func() *instance { return from[i%len(from)] })
			call.ID, call.Address = client.Next()
			stream := &standin.ClientStream{}
			ctx, cancel := context.WithTimeout(context.Background(), max(after, 3*streamInterval))
			defer cancel()
			if stream.Try(ctx, call); !stream.Complete() {
				<-ctx.Done()
				client = s.newStreamClient(call, func() *instance { return to[i%len(to)] })
				client.TakeUp(stream)
			}
			s.recordStream(stream)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.moved = append(s.moved, stream)
		})
	}
	group.Wait()
}

// join replaces two upstreams by ones of a second version, which at times leaves again.
func (s *soakRun) join() {
	for i := range 2 {
		s.replaceUpstream(i, "v1", 0, 1+s.randomInt(2))
	}
	if s.randomInt(2) == 0 {
		time.Sleep(time.Duration(s.randomInt(1500)) * time.Millisecond)
		for i := range 2 {
			s.replaceUpstream(i, "v0", 0, 1+s.randomInt(2))
		}
	}
}

// trouble disturbs an instance, or all others, for a time.
func (s *soakRun) trouble(group *sync.WaitGroup, n *instance, length time.Duration) {
	store := s.proxies[engineCount+s.indexOf(n)] // After those of the engines.
	kind := s.randomInt(5)
	s.t.Logf("trouble %d at %s for %s", kind, n.ip, length)
	freeze := func() {
		n.excuse(time.Now().Add(length))
		n.signal(syscall.SIGSTOP)
		group.Go(func() {
			time.Sleep(length)
			n.signal(syscall.SIGCONT)
		})
	}
	killOthers := func() {
		for _, o := range s.instances {
			if o != n {
				group.Go(func() { o.restart(s, 300*time.Millisecond) })
			}
		}
	}
	switch kind {
	case 0, 1:
		freeze()
	case 2:
		n.restart(s, length)
	case 3:
		n.excuse(time.Now().Add(length))
		store.SetMode(DropAll)
		group.Go(func() {
			time.Sleep(length)
			store.SetMode(Forward)
		})
	case 4:
		killOthers()
		time.Sleep(time.Duration(s.randomInt(2000)) * time.Millisecond)
		freeze()
	}
}

func (s *soakRun) indexOf(n *instance) int {
	for i, o := range s.instances {
		if o == n {
			return i
		}
	}
	return -1
}

// checkStreamsBeside requires that no client holds events of two versions, and that streams
// that were taken up since a time at instances in touch went on.
func (s *soakRun) checkStreamsBeside(from time.Time) {
	for _, stream := range s.streams {
		require.True(s.t, stream.Ordered(), "%+v", stream.Tries)
		require.LessOrEqual(s.t, len(stream.Versions()), 1, "events of several versions: %+v", stream.Tries)
	}
	count := func(t *standin.StreamTry, version string) bool {
		n := s.requests[t.Call.ID].instance
		inTouch := t.Sent.After(from) && !n.other && n.inTouch(t.Sent.Add(-contactTime), t.Ended)
		return inTouch && (version == "" || s.servingAll(version, t.Sent, t.Ended) >= 2)
	}
	all := standin.CountShares(s.streams, count)
	moved := standin.CountShares(s.moved, count)
	moved.New, moved.Begun = all.New, all.Begun
	s.t.Logf("streams of clients at instances in touch: %+v, moved %+v", all, moved)
	require.True(s.t, all.Fair(), "streams that were taken up did not go on: %+v", all)
	require.True(s.t, moved.Fair(), "streams that were moved did not go on: %+v", moved)
}
