package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// world is a small deployment: the platform, runners and entry instances.
type world struct {
	folder  string // Temporary folder.
	program string // Path of the program under test.
	store   *store
	cloud   *cloud
	entries []*entry
	runners []*runner

	recordMu sync.Mutex
	record   io.Writer
	start    time.Time
	seeds    []string
	first    bool     // The deployment starts for the first time.
	seen     sync.Map // Runners that have begun to run a request, by its ID.
	totals   totals
}

// totals counts the requests of clients.
type totals struct {
	sent, served, refused, failed, run atomic.Int64
}

// logTotals writes the totals to record.txt every five seconds until stop is closed.
func (w *world) logTotals(stop <-chan struct{}) {
	for {
		t := &w.totals
		w.log("so far: %d requests sent, %d run by runners, %d answered 200, %d answered otherwise, %d without an answer",
			t.sent.Load(), t.run.Load(), t.served.Load(), t.refused.Load(), t.failed.Load())
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Second):
		}
	}
}

// count counts the result of a request.
func (t *totals) count(status int, err error) {
	switch {
	case err != nil:
		t.failed.Add(1)
	case status == http.StatusOK:
		t.served.Add(1)
	default:
		t.refused.Add(1)
	}
}

// log writes a line to record.txt.
func (w *world) log(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// usageReport is one report that the platform has accepted.
type usageReport struct {
	Window int            `json:"window_no"`
	Counts map[string]int `json:"counts"`
}

// cloud emulates the platform's interface for the singleton duties.
type cloud struct {
	mu       sync.Mutex
	highest  int
	accepted map[int][]string // Bodies of the accepted reports of a window.
	address  string
}

func newCloud(w *world) (*cloud, error) {
	c := &cloud{accepted: map[int][]string{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.address = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fence, _ := strconv.Atoi(r.Header.Get("X-Fencing-Token"))
		if r.URL.Path != "/usage" {
			writeJSON(rw, http.StatusOK, map[string]any{})
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if fence < c.highest {
			writeJSON(rw, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		c.highest = fence
		var u usageReport
		if json.Unmarshal(body, &u) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		c.accepted[u.Window] = append(c.accepted[u.Window], string(body))
		w.log("platform accepts usage report of %s, fence %d: %s", r.Header.Get("X-Duty-Holder"), fence, body)
		writeJSON(rw, http.StatusOK, map[string]any{})
	})}
	go func() { _ = server.Serve(l) }()
	return c, nil
}

// entry is one entry instance.
type entry struct {
	world               *world
	name                string
	zone                string
	frontend, readiness string
	control             string
	process             *exec.Cmd
	done                chan struct{}
}

// freeAddresses returns loopback addresses with ports that are free, and that the kernel
// does not choose for other connections.
func freeAddresses(n int) ([]string, error) {
	var list []string
	for tries := 0; len(list) < n; tries++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000)))
		if err != nil {
			if tries > 1000 {
				return nil, err
			}
			continue
		}
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list, nil
}

const settings = `node_name = %q
role = "edge"
machine_class = "edge"
serves = ["edge","control_plane"]
ip = "127.0.0.1"
zone = %q
region = "r"
port_range = [7340,7355]
seeds = [%s]
is_bootstrap = %t
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","leader","platform"]
[listen]
frontend = %q
readiness = %q
control = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
revoke_strict = true
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 56
fencing_enforced = true
lease_ms = 3000
report_window_s = 5
usage_delay_s = 10
[platform]
address = %q
form = "log"
[cloud]
address = %q
duties = ["usage_report"]
duty_per_s = 50.0
`

// addEntry prepares an entry instance.
func (w *world) addEntry(zone string) (*entry, error) {
	a, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	e := &entry{world: w, name: fmt.Sprintf("edge-%s-%d", zone, len(w.entries)+1), zone: zone, frontend: a[0], readiness: a[1], control: a[2]}
	w.entries = append(w.entries, e)
	w.seeds = append(w.seeds, strconv.Quote(e.control))
	return e, nil
}

// startProcess starts the process of an entry instance.
func (e *entry) startProcess() error {
	w := e.world
	file := filepath.Join(w.folder, e.name+".toml")
	text := fmt.Sprintf(settings, e.name, e.zone, strings.Join(w.seeds, ","), w.first, e.frontend, e.readiness, e.control, w.store.address, w.cloud.address)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(w.folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.process = exec.Command(w.program, "edge")
	e.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.folder, "SAVORYLOFT_BOOT=" + file}
	e.process.Stdout, e.process.Stderr = out, out
	if err := e.process.Start(); err != nil {
		return err
	}
	w.log("%s starts (process %d)", e.name, e.process.Process.Pid)
	done := make(chan struct{})
	e.done = done
	process := e.process
	go func() {
		err := process.Wait()
		w.log("%s ends: %v", e.name, err)
		_ = out.Close()
		close(done)
	}()
	return nil
}

func (e *entry) signal(s syscall.Signal) {
	e.world.log("%s gets %v", e.name, s)
	_ = e.process.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (e *entry) kill() {
	if e.process == nil {
		return
	}
	e.signal(syscall.SIGKILL)
	<-e.done
}

// awaitReady waits until the instance says that it is ready.
func (e *entry) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + e.readiness + "/savoryloft/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			e.world.log("%s is ready", e.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", e.name, timeout)
}

// runner is a runner of a service.
type runner struct {
	world    *world
	id       string
	service  string
	version  string
	zone     string
	address  string
	born     int64
	beats    int
	listener net.Listener
	handle   work
	stop     chan struct{}

	mu    sync.Mutex
	state string
	conns map[net.Conn]bool
}

// work is what a runner does with a request on a connection. It returns false to close that.
type work func(r *runner, c net.Conn, req *http.Request, body []byte) bool

// addRunner starts a runner of the software version v1 and registers it.
func (w *world) addRunner(id, service string, handle work) (*runner, error) {
	return w.addRunnerOf(id, service, "v1", handle)
}

// addRunnerOf starts a runner of a software version and registers it.
func (w *world) addRunnerOf(id, service, version string, handle work) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		world: w, id: id, service: service, version: version, zone: "a", address: l.Addr().String(), born: time.Now().UnixMilli(),
		listener: l, handle: handle, stop: make(chan struct{}), state: "ready", conns: map[net.Conn]bool{},
	}
	w.runners = append(w.runners, r)
	go r.serve()
	r.beat()
	go func() {
		for {
			select {
			case <-r.stop:
				return
			case <-time.After(1200 * time.Millisecond):
				r.beat()
			}
		}
	}()
	return r, nil
}

// beat writes the runner's entry into the store.
func (r *runner) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beats++
	value, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": 64, "state": r.state,
		"cold_left_ms": 0, "seq_no": r.beats, "born": r.born,
	})
	r.world.store.put("keyed.servers", r.id, value)
}

func (r *runner) serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serveConn(c)
	}
}

// drain makes the runner report that it leaves.
func (r *runner) drain() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.beat()
}

func (r *runner) isLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == "draining"
}

// leave ends the runner: its entry is removed, and its channels are closed.
func (r *runner) leave() {
	close(r.stop)
	_ = r.listener.Close()
	r.world.store.put("keyed.servers", r.id, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *runner) serveConn(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	br := bufio.NewReaderSize(c, 1<<16)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return // The channel has ended.
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			r.world.log("%s: body of %s is cut: %v", r.id, req.Header.Get("X-Attempt-Id"), err)
			return
		}
		if req.URL.Path == "/savoryloft/report" {
			answer(c, 200, map[string]string{"Content-Type": "application/json"}, fmt.Appendf(nil, `{"phase":"colocated","born":%d}`, r.born))
			continue
		}
		if target := req.Header.Get("X-Target-Instance"); target != "" && target != r.id {
			answer(c, 421, map[string]string{"X-Instance-Id": r.id}, nil)
			continue
		}
		r.world.seen.Store(req.Header.Get("X-Attempt-Id"), r.id)
		r.world.totals.run.Add(1)
		if !r.handle(r, c, req, body) {
			return
		}
	}
}

// answer writes a response with a length.
func answer(c net.Conn, status int, headers map[string]string, body []byte) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for k, v := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	_, _ = c.Write(b.Bytes())
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// request sends one request on a new connection and returns the raw response.
func request(address, head string, body []byte, timeout time.Duration) (status int, header http.Header, data []byte, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, nil, nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := c.Write(append([]byte(head), body...)); err != nil {
		return 0, nil, nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, nil, err
	}
	data, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, data, err
}

// close ends all processes.
func (w *world) close() {
	for _, e := range w.entries {
		if e.process != nil {
			_ = e.process.Process.Signal(syscall.SIGCONT)
			_ = e.process.Process.Kill()
			<-e.done
		}
	}
}
