package server_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/trace"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/emulator"
	"savoryloft.example/savoryloft/exchanger"
	"savoryloft.example/savoryloft/follower"
	"savoryloft.example/savoryloft/parser"
	"savoryloft.example/savoryloft/server"
)

const (
	platformHost = "platform"
	platformAddr = "127.0.0.1:7000"
	apiKeyA      = "sl-secret-of-tsagaan"
	apiKeyB      = "sl-secret-of-cadena"
)

// entryTracer is the tracer of the entry instances that a test starts. When nil,
// they do not trace.
var entryTracer trace.Tracer

// fleet is a platform, upstreams and entry instances on an in-memory network.
// It must run inside a synctest bubble.
type fleet struct {
	t         *testing.T
	network   *emulator.Network
	platform  *emulator.Platform
	engines   []*emulator.Engine
	service   *emulator.Service
	entries   []*entry
	servers   []*fasthttp.Server
	log       *logCapture
	noteCount int
	stopGrace string // Of the entry instances that are started from now on.
}

type entry struct {
	name   string
	cancel context.CancelFunc
	done   chan error
	ended  atomic.Bool
}

// logCapture buffers the log lines of all instances.
type logCapture struct{ lines chan string }

func (l *logCapture) logger() logr.Logger {
	return funcr.New(func(prefix, args string) {
		select {
		case l.lines <- prefix + args:
		default:
		}
	}, funcr.Options{Verbosity: 4})
}

// withFleet runs a scenario in a synctest bubble, on a new fleet that is stopped
// afterwards.
func withFleet(t *testing.T, entryCount int, scenario func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, entryCount)
		defer f.stop()
		scenario(f)
	})
}

func newFleet(t *testing.T, entryCount int) *fleet {
	f := &fleet{
		t: t, network: emulator.NewNetwork(), platform: &emulator.Platform{},
		log: &logCapture{lines: make(chan string, 100_000)}, stopGrace: "2m",
	}
	f.serve(platformHost, platformAddr, f.platform.Server())
	for i := range 2 {
		e := &emulator.Engine{Name: fmt.Sprint("engine-", i+1), FirstToken: 30 * time.Millisecond, BetweenToken: 10 * time.Millisecond}
		f.engines = append(f.engines, e)
		f.serve(e.Name, fmt.Sprint("127.0.0.1:900", i+1), e.Server())
	}
	f.service = &emulator.Service{Name: "booking-1"}
	f.serve("booking-1", "127.0.0.1:9101", f.service.Server())
	var list []savoryloft.ListedInstance
	for i := range entryCount {
		list = append(list, savoryloft.ListedInstance{
			Name: entryName(i), Kind: savoryloft.ListedInstanceKindEntry, Address: peerAddr(i),
			FailureDomain: fmt.Sprint("d", i%4), State: savoryloft.ListedInstanceStateLive,
		})
	}
	f.platform.SetInstances(list)
	f.publish(initialNote())
	for i := range entryCount {
		f.startEntry(i)
	}
	f.waitReady()
	return f
}

func entryName(i int) string    { return fmt.Sprint("entry-", i+1) }
func peerAddr(i int) string     { return fmt.Sprint("127.0.0.1:82", 10+i) }
func callerAddr(i int) string   { return fmt.Sprint("127.0.0.1:80", 10+i) }
func operatorAddr(i int) string { return fmt.Sprint("127.0.0.1:81", 10+i) }

func (f *fleet) serve(host, address string, s *fasthttp.Server) {
	l, err := f.network.Listen(host, address)
	require.NoError(f.t, err)
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
}

func (f *fleet) startEntry(i int) {
	text := fmt.Sprintf(`{
		"Instance": %q, "FailureDomain": "d%d",
		"Listen": {"Callers": %q, "Operators": %q, "Peers": %q},
		"Platform": {"Address": %q},
		"Usage": {"Window": "10s", "Grace": "3s"},
		"Stop": {"Notice": "3s", "Grace": %q}
	}`, entryName(i), i%4, callerAddr(i), operatorAddr(i), peerAddr(i), platformAddr, f.stopGrace)
	settings, err := parser.Settings("test", []byte(text))
	require.NoError(f.t, err)
	host := entryName(i)
	s := &server.Server{
		Settings: settings, Logger: f.log.logger(), Dial: f.network.Dialer(host), Tracer: entryTracer,
		Listen: func(address string) (net.Listener, error) { return f.network.Listen(host, address) },
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{name: host, cancel: cancel, done: make(chan error, 1)}
	go func() { e.done <- s.Run(ctx) }()
	if i < len(f.entries) {
		f.entries[i] = e
	} else {
		f.entries = append(f.entries, e)
	}
}

// kill ends an entry instance as SIGKILL does: it sends nothing more on the
// network.
func (f *fleet) kill(i int) {
	f.network.Kill(entryName(i))
	f.entries[i].ended.Store(true)
	f.entries[i].cancel()
}

// stopEntry shuts an entry instance down gracefully and returns its error.
func (f *fleet) stopEntry(i int) error {
	f.entries[i].ended.Store(true)
	f.entries[i].cancel()
	return <-f.entries[i].done
}

// stop stops all goroutines of the fleet, without which the bubble can not end.
func (f *fleet) stop() {
	f.platform.SetFaults(emulator.PlatformFaults{})
	for i, e := range f.entries {
		if e.ended.Load() {
			continue
		}
		for j := range f.entries {
			f.network.HealPartition(entryName(i), entryName(j))
		}
		f.network.HealPartition(entryName(i), platformHost)
		e.cancel()
	}
	time.Sleep(4 * time.Minute)
	for _, s := range f.servers {
		go func() { _ = s.Shutdown() }()
	}
	for _, h := range []string{platformHost, "engine-1", "engine-2", "booking-1", "caller"} {
		f.network.Kill(h)
	}
	time.Sleep(2 * time.Hour) // Emulated upstreams in a silent fault wait for an hour.
}

func (f *fleet) waitReady() {
	for i, e := range f.entries {
		if e.ended.Load() {
			continue
		}
		require.Eventually(f.t, func() bool {
			status, _ := f.get(operatorAddr(i), "/readyz")
			return status == fasthttp.StatusOK
		}, 20*time.Second, 50*time.Millisecond, "entry %d is not ready", i)
	}
}

func (f *fleet) get(address, path string) (int, []byte) {
	status, body, _ := f.do(address, "GET", path, nil, nil, nil)
	return status, body
}

// do sends one request as a caller or operator. Without onEvent it returns the
// body, followed by the Retry-After header if there is one. With onEvent it calls
// it with the data of each server-sent event of a response with status 200.
func (f *fleet) do(address, method, path string, header map[string]string, body []byte, onEvent func(string)) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	pool := &exchanger.Pool{Dial: f.network.Dialer("caller")}
	conn, err := pool.Get(ctx, address, exchanger.Fresh)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = conn.Close() }()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	req.SetBody(body)
	if err := conn.Exchange(ctx, req, resp, 5*time.Minute); err != nil {
		return 0, nil, err
	}
	if onEvent == nil || resp.StatusCode() != fasthttp.StatusOK {
		respBody, err := conn.ReadBody(ctx, resp, 1<<20)
		if retryAfter := string(resp.Header.Peek("Retry-After")); retryAfter != "" {
			respBody = append(respBody, []byte(" Retry-After: "+retryAfter)...)
		}
		return resp.StatusCode(), respBody, err
	}
	lines := bufio.NewScanner(resp.BodyStream())
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			onEvent(data)
		}
	}
	return resp.StatusCode(), nil, lines.Err()
}

// post sends a call to the booking service, with an Idempotency-Key unless that
// is empty. The status is 0 when the exchange fails; the body is the error then.
func (f *fleet) post(i int, path, apiKey, callID, idempotencyKey string) (int, string) {
	header := map[string]string{"X-Call-Id": callID}
	if apiKey != "" {
		header["Authorization"] = "Bearer " + apiKey
	}
	if idempotencyKey != "" {
		header["Idempotency-Key"] = idempotencyKey
	}
	status, body, err := f.do(callerAddr(i), "POST", path, header, []byte(`{"Seats":2}`), nil)
	if err != nil {
		return 0, err.Error()
	}
	return status, string(body)
}

// chatResult is what a caller received of a streamed chat completion.
type chatResult struct {
	status    int
	text      string
	done      bool   // The end marker was received.
	errorCode string // From an error event or response.
	err       error
}

// chat sends a streamed chat completion request and reads the response to its
// end.
func (f *fleet) chat(i int, apiKey, model, prompt string, tokens int) chatResult {
	req := emulator.EngineRequest{
		Model: model, Stream: true, MaxTokens: tokens,
		Messages: []emulator.Message{{Role: "user", Content: prompt}},
	}
	body, err := json.Marshal(req)
	require.NoError(f.t, err)
	var s chatResult
	header := map[string]string{"Authorization": "Bearer " + apiKey, "Content-Type": "application/json"}
	var respBody []byte
	s.status, respBody, s.err = f.do(callerAddr(i), "POST", "/v1/chat/completions", header, body, func(data string) {
		if data == "[DONE]" {
			s.done = true
			return
		}
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
			Error   struct{ Code string }
		}
		require.NoError(f.t, json.Unmarshal([]byte(data), &c))
		s.errorCode += c.Error.Code
		if len(c.Choices) > 0 {
			s.text += c.Choices[0].Delta.Content
		}
	})
	if s.status != fasthttp.StatusOK {
		s.errorCode = errorCodeOf(respBody)
	}
	return s
}

func errorCodeOf(respBody []byte) string {
	var e struct{ Error struct{ Code string } }
	_ = json.NewDecoder(strings.NewReader(string(respBody))).Decode(&e)
	return e.Error.Code
}

// chatText returns the full text that engines generate for a prompt.
func chatText(prompt string, tokens int) string {
	req := emulator.EngineRequest{Messages: []emulator.Message{{Content: prompt}}}
	var b strings.Builder
	for i := range tokens {
		b.WriteString(emulator.Token(req, i))
	}
	return b.String()
}

// publish appends a release note to the control stream as an operator does. If
// the first attempt fails, it retries in the background until one succeeds.
func (f *fleet) publish(n savoryloft.Note) {
	if n.ID == "" {
		f.noteCount++
		n.ID = fmt.Sprint("n", f.noteCount)
	}
	data, err := json.Marshal(savoryloft.Record{ID: "note-" + n.ID, Note: &n})
	require.NoError(f.t, err)
	if f.tryPublish(data) {
		return
	}
	go func() {
		for !f.tryPublish(data) {
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

// tryPublish appends a record to the control stream. It returns false if the
// response is lost, even though the record may have been appended.
func (f *fleet) tryPublish(data []byte) bool {
	direct := &emulator.Direct{Platform: f.platform}
	_, err := direct.Append(context.Background(), savoryloft.StreamControl, data)
	return err == nil
}

// lastControlOffset returns the last offset of the control stream, or -1.
func (f *fleet) lastControlOffset() int { return len(f.platform.Records(savoryloft.StreamControl)) - 1 }

func (f *fleet) withdrawKey(name string) {
	f.publish(savoryloft.Note{Base: f.lastControlOffset(), Withdrawn: &savoryloft.EntityNames{Keys: []string{name}}})
}

// logLines returns the log lines since the last call.
func (f *fleet) logLines() string {
	var b strings.Builder
	for {
		select {
		case l := <-f.log.lines:
			b.WriteString(l + "\n")
		default:
			return b.String()
		}
	}
}

func initialNote() savoryloft.Note {
	n, err := parser.Note("first", []byte(fmt.Sprintf(`{
		"ID": "first", "Base": -1,
		"Added": {
			"ClientAccounts": [{"Name": "tsagaan"}, {"Name": "cadena"}],
			"Keys": [
				{"Name": "a", "ClientAccount": "tsagaan", "Hash": %q},
				{"Name": "b", "ClientAccount": "cadena", "Hash": %q}
			],
			"Classes": [
				{"Name": "confirmations", "Tier": 0, "FirstToken": "200ms", "FloorPercent": 0},
				{"Name": "quotes", "Tier": 1, "FirstToken": "390ms", "BetweenTokens": "67ms", "FloorPercent": 2},
				{"Name": "reviews", "Tier": 3, "FirstToken": "5s", "FloorPercent": 2}
			],
			"Pools": [
				{"Name": "chat", "Kind": "Engine", "Model": "large-1", "Slots": 16},
				{"Name": "booking", "Kind": "Service", "Slots": 32}
			],
			"Routes": [
				{"Name": "quotes", "Path": "/v1/chat/completions", "Model": "quotes", "Class": "quotes", "Pool": "chat", "Idempotent": true},
				{"Name": "reviews", "Path": "/v1/chat/completions", "Model": "reviews", "Class": "reviews", "Pool": "chat", "Idempotent": true},
				{"Name": "bookings", "Path": "/bookings", "Class": "confirmations", "Pool": "booking"},
				{"Name": "remembered", "Path": "/remembered", "Class": "confirmations", "Pool": "booking", "UpstreamRemembersKeys": true},
				{"Name": "stock", "Method": "GET", "Path": "/stock", "Class": "confirmations", "Pool": "booking", "Idempotent": true},
				{"Name": "hours", "Method": "GET", "Path": "/hours", "Class": "confirmations", "Pool": "booking", "Open": true, "Idempotent": true}
			],
			"Upstreams": [
				{"Name": "engine-1", "Pool": "chat", "Address": "127.0.0.1:9001", "FailureDomain": "d0"},
				{"Name": "engine-2", "Pool": "chat", "Address": "127.0.0.1:9002", "FailureDomain": "d1"},
				{"Name": "booking-1", "Pool": "booking", "Address": "127.0.0.1:9101", "FailureDomain": "d0"}
			]
		}
	}`, follower.HashKey(apiKeyA), follower.HashKey(apiKeyB))))
	if err != nil {
		panic(err)
	}
	return n
}

func withdrawUpstream(name string, base int) savoryloft.Note {
	return savoryloft.Note{Base: base, Withdrawn: &savoryloft.EntityNames{Upstreams: []string{name}}}
}
