package soaker

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/faker"
	"savoryloft.example/savoryloft/platform/standin"
)

// Limits of the instance in TestUntrustedClients, and its crowd. The bounds of the checks
// are the limits themselves.
const (
	crowdMemoryMB     = 96
	crowdDescriptors  = 400
	crowdSockets      = crowdDescriptors - 200 // The others are reserved for files.
	crowdMaxBody      = 1 << 20                // Of the configuration.
	crowdResponse     = 2 << 20                // Of the upstream to clients that read slowly.
	crowdClients      = 96
	crowdIdle         = 500             // Connections; more than the descriptors.
	crowdTime         = 4 * time.Second // From the first connection until all are closed.
	crowdSampleGap    = 20 * time.Millisecond
	crowdAnswerWithin = 30 * time.Second // So that a process that hangs fails the test.
	crowdKey          = "key-0"
)

// TestUntrustedClients plays crowds of clients that send more than an instance can keep,
// or leave it waiting. It checks that the process lives, that its memory and open
// sockets stay within the limits of its settings, and that an ordinary request and one
// with the largest body are answered afterwards.
func TestUntrustedClients(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "savoryloft")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/savoryloft").CombinedOutput()
	require.NoError(t, err, "%s", out)
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	largeChunk := fmt.Sprintf("%x\r\n%s\r\n", crowdMaxBody/16, strings.Repeat("x", crowdMaxBody/16))
	body := strings.Repeat("x", crowdMaxBody)
	for _, tt := range []struct {
		name    string
		route   string
		clients int
		send    func(c net.Conn) // After the head without its last lines.
	}{
		{"large chunks, unfinished", "hang", crowdClients, func(c net.Conn) {
			write(c, chunked, strings.Repeat(largeChunk, 15))
		}},
		{"tiny chunks, unfinished", "hang", crowdClients, func(c net.Conn) {
			write(c, chunked)
			chunks := strings.Repeat("1\r\nx\r\n", 1<<10)
			for range crowdMaxBody>>10 - 1 {
				if !write(c, chunks) {
					return
				}
			}
		}},
		{"announced over the limit", "hang", crowdClients, func(c net.Conn) {
			write(c, length(1<<30), body, body, body, body)
		}},
		{"chunked over the limit", "hang", crowdClients, func(c net.Conn) {
			write(c, chunked)
			for range 64 {
				if !write(c, largeChunk) {
					return
				}
			}
		}},
		{"large bodies at once", "hang", crowdClients, func(c net.Conn) { write(c, length(len(body)), body) }},
		{"large bodies piece by piece, unfinished", "hang", crowdClients, func(c net.Conn) {
			write(c, length(len(body)))
			for i := range 63 {
				if !write(c, body[i*len(body)/64:(i+1)*len(body)/64]) {
					return
				}
				time.Sleep(crowdTime / 128)
			}
		}},
		{"slow readers", "large", crowdClients, func(c net.Conn) {
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			write(c, length(0))
		}},
		{"idle connections", "echo", crowdIdle, func(c net.Conn) { write(c, length(0)) }},
		{"unfinished heads", "hang", crowdIdle, func(net.Conn) {}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, n := startUntrusted(t, binary)
			s.ask(n, "calm", "ok")
			stop, sampled := make(chan struct{}), make(chan int)
			go func() { sampled <- sampleSockets(n.cmd.Process.Pid, stop) }()
			defer func() {
				select {
				case <-stop:
				default:
					close(stop)
					<-sampled
				}
			}()
			s.sendCrowd(n, tt.clients, tt.route, tt.send)
			s.ask(n, "after", "ok")
			s.ask(n, "largest", body)
			close(stop)
			sockets := <-sampled
			s.mu.Lock()
			defer s.mu.Unlock()
			require.Empty(t, s.ended, "processes that have ended")
			peak := peakMemory(t, n.cmd.Process.Pid)
			t.Logf("peak: %d MB of %d, %d sockets of %d", peak>>20, crowdMemoryMB, sockets, crowdSockets)
			require.LessOrEqual(t, peak, crowdMemoryMB<<20)
			require.LessOrEqual(t, sockets, crowdSockets)
		})
	}
}

// startUntrusted starts an instance with low limits, and an upstream that never responds to
// requests of the route "hang" and sends large responses to those of "large".
func startUntrusted(t *testing.T, binary string) (*soakRun, *instance) {
	s := newSoakRun(t, binary, 0)
	s.log = &faker.Log{}
	route := func(name string) string {
		return fmt.Sprintf(`{"name":%[1]q,"host":%[2]q,"path_prefix":"/%[1]s/","route_kind":"non_idempotent","timeout_ms":20000,"service":"s","max_attempts":1}`, name, host)
	}
	s.log.Set(savoryloft.TopicConfiguration, "config", fmt.Appendf(nil, `{"version":1,"routes":[%s,%s,%s],`+
		`"services":[{"name":"s","max_conns":500,"inference_engine":{"slots":500,"kv_capacity":100000000}}],"tenants":[{"name":"account","api_keys":[%q]}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":5000,"idle_timeout_ms":5000}}`,
		route("hang"), route("large"), route("echo"), crowdKey, crowdMaxBody))
	large := strings.Repeat("x", crowdResponse)
	e := &standin.Engine{ID: "i-0", Decide: func(r *http.Request) standin.Behaviour {
		switch {
		case strings.HasPrefix(r.URL.Path, "/hang/"):
			return standin.Hang
		case strings.HasPrefix(r.URL.Path, "/large/"):
			return standin.RawResponse
		}
		return standin.Normal
	}}
	e.Raw = func(r *http.Request) string {
		head, _ := e.Encode(r, standin.Unframed)
		return head + large
	}
	p := &standin.Process{Engine: e, IP: s.backEndIP()}
	require.NoError(t, p.Start())
	t.Cleanup(p.Stop)
	s.log.Set(savoryloft.TopicRegistry, e.ID, e.RegistryEntry(p.Address(), "ready", 500))
	store := s.serve(&standin.LogServer{Log: s.log})
	text := fmt.Sprintf(settingsTemplate, 0, s.ipPrefix+"1", s.ipPrefix, store, s.serve(s.duties))
	text = strings.Replace(text, "memory_mb = 200\n", fmt.Sprintf("memory_mb = %d\nmax_fds = %d\n", crowdMemoryMB, crowdDescriptors), 1)
	n := &instance{ip: s.ipPrefix + "1", settings: filepath.Join(s.dir, "entry.toml")}
	require.NoError(t, os.WriteFile(n.settings, []byte(firstStart+text), 0o600))
	file, err := os.Create(n.settings + ".log")
	require.NoError(t, err)
	n.log = file
	s.instances = []*instance{n}
	n.start(s)
	t.Cleanup(n.kill)
	limit := &unix.Rlimit{Cur: crowdDescriptors, Max: crowdDescriptors}
	require.NoError(t, unix.Prlimit(n.cmd.Process.Pid, unix.RLIMIT_NOFILE, limit, nil))
	require.Eventually(t, n.ready, 15*time.Second, 20*time.Millisecond)
	return s, n
}

// sendCrowd opens the connections of a crowd, which all stay open until crowdTime is over.
func (s *soakRun) sendCrowd(n *instance, clients int, route string, send func(c net.Conn)) {
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", n.ip+":7101")
			if err != nil {
				return // Refused.
			}
			defer c.Close()
			deadline, _ := ctx.Deadline()
			_ = c.SetDeadline(deadline)
			if write(c, standin.PartialRequest(host, route, fmt.Sprint("crowd-", i), crowdKey)) {
				send(c)
			}
			<-ctx.Done()
		})
	}
	group.Wait()
}

// write writes texts to a connection and reports whether it took them all.
func write(c net.Conn, texts ...string) bool {
	for _, text := range texts {
		if _, err := io.WriteString(c, text); err != nil {
			return false
		}
	}
	return true
}

// ask sends a request until it is answered. Refusals are allowed.
func (s *soakRun) ask(n *instance, id, body string) {
	attempt := 0
	require.Eventually(s.t, func() bool {
		attempt++
		r, err := standin.Call{Address: n.ip + ":7101", Host: host, Route: "echo", ID: fmt.Sprint(id, "-", attempt), APIKey: crowdKey, Body: body}.Request()
		if err != nil {
			return false
		}
		client := http.Client{Timeout: crowdAnswerWithin, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Do(r)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK && standin.Signature(resp.Header) != ""
	}, crowdAnswerWithin, 100*time.Millisecond, "request %s was not answered", id)
}

// sampleSockets returns the highest number of open sockets and pipes of a process until stop.
func sampleSockets(pid int, stop <-chan struct{}) int {
	highest := 0
	for {
		list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		count := 0
		for _, entry := range list {
			target, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, entry.Name()))
			if strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:") {
				count++
			}
		}
		highest = max(highest, count)
		select {
		case <-stop:
			return highest
		case <-time.After(crowdSampleGap):
		}
	}
}

// peakMemory returns the highest resident memory of a process so far, in bytes.
func peakMemory(t *testing.T, pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kB, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			require.NoError(t, err)
			return kB << 10
		}
	}
	require.Fail(t, "no peak in the status of the process")
	return 0
}
