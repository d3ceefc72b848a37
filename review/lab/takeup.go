package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	streamEvents = 50
	eventPause   = 150 * time.Millisecond
	clientGap    = 2 * time.Second // After which a client abandons a silent stream.
	freezeTime   = 6 * time.Second
	oldStreams   = 24
	newStreams   = 40
)

// serveStream is the work of a model runner: it goes on after Last-Event-Id.
func serveStream(r *runner, c net.Conn, req *http.Request, _ []byte) bool {
	id := req.Header.Get("X-Attempt-Id")
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	r.world.log("%s (%s) runs %s after event %d", r.id, r.version, id, from)
	leaving := ""
	if r.isLeaving() {
		leaving = "Server-Leaving: 1\r\nConnection: close\r\n"
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: s.%s\r\n%s"+
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.id, leaving); err != nil {
		return false
	}
	for i := from + 1; i <= streamEvents; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, r.version)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(eventPause)
	}
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err == nil && leaving == ""
}

// streamed is what a client has received of a stream.
type streamed struct {
	status   int // 0 without an answer.
	last     int // ID of the last event.
	complete bool
}

// follow sends a request for a stream, or takes up the one of the attempt resumes after an
// event, and reads until its end or a gap of clientGap.
func follow(address, id, resumes string, after int) streamed {
	s := streamed{last: after}
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return s
	}
	defer c.Close()
	takeUp := ""
	if resumes != "" {
		takeUp = fmt.Sprintf("Resumes: %s\r\nLast-Event-Id: %d\r\n", resumes, after)
	}
	_ = c.SetDeadline(time.Now().Add(clientGap))
	if _, err := fmt.Fprintf(c, "POST /text/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 12000\r\n"+
		"Authorization: Token key-1\r\n%sContent-Length: 2\r\n\r\nab", id, takeUp); err != nil {
		return s
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return s
	}
	s.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		_ = c.SetDeadline(time.Now().Add(clientGap))
		if n, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.last, _ = strconv.Atoi(n)
		}
	}
	s.complete = lines.Err() == nil && s.status == http.StatusOK
	return s
}

// takeUp is the case of a machine that freezes while a release to a new software version
// begins: the clients of its streams take them up at the other machines.
func takeUp(w *world, trouble bool) (bool, error) {
	if err := w.startPlatform(1); err != nil {
		return false, err
	}
	var old []*runner
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		r, err := w.addRunner(id, "text", serveStream)
		if err != nil {
			return false, err
		}
		old = append(old, r)
	}
	w.publish(config(3, []map[string]any{route("text", "/text/", "streaming", "text", map[string]any{
		"resumable": true, "timeout_ms": 12000, "goal_ms": 500, "itl_target_ms": 200,
	})}, []string{"text"}))
	e, err := w.startEntries(3)
	if err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var taken, goOn, begun atomic.Int64
	for i := range oldStreams {
		clients.Go(func() {
			id := fmt.Sprintf("old-%d", i)
			first := follow(e[0].frontend, id, "", 0)
			w.log("client of %s: status %d, events to %d, complete %t", id, first.status, first.last, first.complete)
			if first.complete || first.last == 0 {
				return
			}
			taken.Add(1)
			again := follow(e[1+i%2].frontend, id+"-again", id, first.last)
			w.log("client of %s takes it up at %s after event %d: status %d, events to %d, complete %t",
				id, e[1+i%2].name, first.last, again.status, again.last, again.complete)
			if again.status == http.StatusOK && again.last > first.last {
				goOn.Add(1)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		e[0].signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() { e[0].signal(syscall.SIGCONT) })
		time.Sleep(time.Second)
		if os.Getenv("RELEASE") != "0" {
			if _, err := w.addRunnerOf("i-4", "text", "v2", serveStream); err != nil {
				return false, err
			}
			w.log("a release begins: i-4 of v2 is there; i-1 of v1 drains, i-2 and i-3 of v1 serve on")
			old[0].drain()
		}
	}
	for i := range newStreams {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 75 * time.Millisecond)
			s := follow(e[1+i%2].frontend, fmt.Sprintf("new-%d", i), "", 0)
			w.log("client of new-%d: status %d, events to %d, complete %t", i, s.status, s.last, s.complete)
			if s.last > 0 {
				begun.Add(1)
			}
		})
	}
	clients.Wait()
	w.log("%d streams were taken up at other machines, %d of them go on; %d of %d new streams have begun there", taken.Load(), goOn.Load(), begun.Load(), newStreams)
	shareOn, shareNew := float64(goOn.Load())/float64(max(taken.Load(), 1)), float64(begun.Load())/newStreams
	return taken.Load() >= 12 && shareOn < shareNew/2, nil
}
