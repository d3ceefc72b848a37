package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	waveTime      = 3600 * time.Millisecond // Between two waves of requests.
	firstReplaced = 350 * time.Millisecond  // After a wave has begun, when a runner is replaced.
	releaseGap    = 970 * time.Millisecond  // Until the next runner is replaced.
	leavingTime   = 2500 * time.Millisecond // A runner serves on after it has reported that it leaves.
	readyRunners  = 4
	waveClients   = 240
	steadyClients = 6
	replacedAWave = 3
	leakTime      = 104 * time.Second
)

// descriptors returns the number of open descriptors of a process.
func descriptors(pid int) int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(list)
}

// service is a set of runners, of which the oldest is replaced again and again.
type service struct {
	world  *world
	active []*runner
	count  int
}

func (s *service) add() error {
	s.count++
	r, err := s.world.addRunner(fmt.Sprintf("i-%d", s.count), "app", serveWave)
	if err == nil {
		s.active = append(s.active, r)
	}
	return err
}

// serveWave is the work of a runner. One that leaves says so and closes the channel.
func serveWave(r *runner, c net.Conn, req *http.Request, _ []byte) bool {
	work := 200 * time.Millisecond
	if req.URL.Path == "/long/" {
		work = 900 * time.Millisecond
	}
	time.Sleep(work)
	id := req.Header.Get("X-Attempt-Id")
	headers := map[string]string{"X-Attempt-Id": id, "X-Server-Signature": "s." + r.id}
	leaving := r.isLeaving()
	if leaving {
		headers["Server-Leaving"], headers["Connection"] = "1", "close"
	}
	answer(c, 200, headers, []byte("ok"))
	return !leaving
}

// replaceOldest starts a new runner, and lets the oldest one drain and leave.
func (s *service) replaceOldest() error {
	if err := s.add(); err != nil {
		return err
	}
	old := s.active[0]
	s.active = s.active[1:]
	old.drain()
	time.AfterFunc(leavingTime, old.leave)
	return nil
}

// leak is the case of releases, one after the other.
func leak(w *world, trouble bool) (bool, error) {
	if err := w.startPlatform(1); err != nil {
		return false, err
	}
	s := &service{world: w}
	for range readyRunners {
		if err := s.add(); err != nil {
			return false, err
		}
	}
	c := config(3, []map[string]any{
		route("wave", "/wave/", "idempotent", "app", nil), route("long", "/long/", "idempotent", "app", nil),
	}, []string{"app"})
	c["services"].([]map[string]any)[0]["max_conns"] = 370
	w.publish(c)
	entries, err := w.startEntries(1)
	if err != nil {
		return false, err
	}
	e := entries[0]
	pid := e.process.Process.Pid
	if err := limitDescriptors(pid, maxDescriptors); err != nil {
		return false, err
	}
	w.log("%s may open %d descriptors", e.name, maxDescriptors)
	stop := make(chan struct{})
	go w.logTotals(stop)
	go e.probe(stop)
	var cut atomic.Int64
	var clients sync.WaitGroup
	for i := range steadyClients {
		clients.Go(func() { keepChannel(w, e.frontend, i, stop, &cut) })
	}
	waves := make([]chan int, waveClients)
	for i := range waves {
		waves[i] = make(chan int, 1)
		clients.Go(func() { w.joinWaves(e.frontend, i, waves[i]) })
	}
	begin, ended := time.Now(), false
	for n := 0; time.Since(begin) < leakTime && !ended; n++ {
		for _, wave := range waves {
			select {
			case wave <- n:
			default:
			}
		}
		for k := range replacedAWave {
			at := begin.Add(time.Duration(n)*waveTime + firstReplaced + time.Duration(k)*releaseGap)
			time.Sleep(time.Until(at))
			if trouble {
				if err := s.replaceOldest(); err != nil {
					return false, err
				}
			}
		}
		if n%5 == 0 {
			w.log("%d runners were started in all; %s has %d descriptors open", s.count, e.name, descriptors(pid))
		}
		select {
		case <-e.done:
			ended = true
		case <-time.After(time.Until(begin.Add(time.Duration(n+1) * waveTime))):
		}
	}
	if ended {
		w.log("%s has ended by itself, after %d runners were replaced", e.name, s.count-readyRunners)
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	for _, wave := range waves {
		close(wave)
	}
	clients.Wait()
	w.log("%d requests that were passed on got no answer", cut.Load())
	return cut.Load() > 3, nil
}

// joinWaves sends a request on one channel for each wave.
func (w *world) joinWaves(address string, client int, waves <-chan int) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	br := bufio.NewReader(c)
	for n := range waves {
		w.totals.sent.Add(1)
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = fmt.Fprintf(c, "GET /wave/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: wave-%d-%d\r\nX-Deadline-Ms: 4000\r\nAuthorization: Token key-1\r\n\r\n", client, n)
		status := 0
		resp, err := http.ReadResponse(br, nil)
		if err == nil {
			status = resp.StatusCode
			_, err = io.Copy(io.Discard, resp.Body)
		}
		w.totals.count(status, err)
		if err != nil {
			return
		}
	}
}

// probe asks an instance once a second whether it is ready, each time on a new channel, as
// the platform does.
func (e *entry) probe(stop <-chan struct{}) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		if resp, err := client.Get("http://" + e.readiness + "/savoryloft/readyz"); err == nil {
			_ = resp.Body.Close()
		}
	}
}
