// Package emulator emulates the systems around the router: the platform's API,
// inference engines and plain services. The emulators implement the published
// protocols on any net.Listener, with real sockets or in memory, and inject
// faults: outages, delays, stale data and lost calls or responses.
//
// # Usage
//
//	p := &emulator.Platform{Retention: 10000}
//	go p.Serve(listener)
//	p.SetFaults(emulator.PlatformFaults{Down: true})
package emulator

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft"
)

// PlatformFaults are the faults that a Platform injects.
type PlatformFaults struct {
	Down         bool                // Reject every call with 503.
	LogDown      bool                // Reject calls to the log with 503.
	Delay        savoryloft.Duration // Delay before each call takes effect.
	LoseAnswers  int                 // Number of writes that take effect but get no response.
	LoseCalls    int                 // Number of writes that neither take effect nor get a response.
	ListLag      savoryloft.Duration // Age of the instance list returned.
	NoCapacity   bool                // Reject orders that start an upstream.
	IgnoreFences bool                // Accept orders with outdated fencing tokens.
}

// PlacedOrder is an order that the platform has executed.
type PlacedOrder struct {
	Order    savoryloft.Order
	Upstream string
	Time     time.Time
}

// ReceivedReport is one usage report that the platform received.
type ReceivedReport struct {
	Window int
	Fence  int
	Body   string
}

// Platform emulates the platform's API: the log, the instance list, orders and
// usage reports.
type Platform struct {
	Retention int // Number of records kept in each stream; all when zero.
	// Start starts an upstream for an order and returns its entry in the
	// instance list. With a nil Start no upstream can be started.
	Start func(o savoryloft.Order) (savoryloft.ListedInstance, error)
	// Stop stops the upstream that an order names; optional.
	Stop func(o savoryloft.Order)

	mu          sync.Mutex
	faults      PlatformFaults
	streams     map[string]*stream
	list        []savoryloft.ListedInstance
	listHistory []listVersion
	orders      []PlacedOrder
	fences      map[string]int
	reports     []ReceivedReport
	appends     int
}

type stream struct {
	earliest int
	records  []string
	appended chan struct{}
}

type listVersion struct {
	at   time.Time
	list []savoryloft.ListedInstance
}

// Serve handles calls on a listener until the listener closes, and returns the
// server's error.
func (p *Platform) Serve(l net.Listener) error {
	return p.Server().Serve(l)
}

// Server returns an HTTP server for the platform.
func (p *Platform) Server() *fasthttp.Server {
	return &fasthttp.Server{Handler: p.Handle, NoDefaultDate: true, MaxRequestBodySize: 64 << 20}
}

// SetFaults replaces all faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetInstances replaces the instance list.
func (p *Platform) SetInstances(list []savoryloft.ListedInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setList(list)
}

// Orders returns the executed orders, oldest first.
func (p *Platform) Orders() []PlacedOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]PlacedOrder(nil), p.orders...)
}

// Reports returns the usage reports received, oldest first.
func (p *Platform) Reports() []ReceivedReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]ReceivedReport(nil), p.reports...)
}

// Appends returns the number of append calls that took effect.
func (p *Platform) Appends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appends
}

// Records returns the records of a stream that have not expired.
func (p *Platform) Records(name string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.stream(name).records...)
}

// Expire removes all but the last keep records of a stream.
func (p *Platform) Expire(name string, keep int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trim(p.stream(name), keep)
}

// Handle handles one call.
func (p *Platform) Handle(ctx *fasthttp.RequestCtx) {
	parts := strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
	if parts[0] == "standin" {
		p.handleControl(ctx, parts)
		return
	}
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	if f.Down || f.LogDown && len(parts) > 1 && parts[1] == "streams" {
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
		return
	}
	time.Sleep(f.Delay.Std())
	method := string(ctx.Method())
	if method != "GET" && p.loseCall() {
		closeWithoutResponse(ctx)
		return
	}
	switch {
	case len(parts) == 4 && parts[1] == "streams" && method == "POST":
		p.handleAppend(ctx, parts[2])
	case len(parts) == 4 && parts[1] == "streams":
		p.handleRead(ctx, parts[2])
	case len(parts) == 2 && parts[1] == "instances":
		respondJSON(ctx, savoryloft.InstanceList{Instances: p.delayedList()})
	case len(parts) == 4 && parts[1] == "domains" && method == "POST":
		p.handleOrder(ctx)
	case len(parts) == 5 && parts[1] == "domains":
		p.handleFindOrder(ctx, parts[4])
	case len(parts) == 3 && parts[1] == "usage" && method == "PUT":
		p.handleReport(ctx, parts[2])
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
	if method != "GET" && ctx.Response.StatusCode() == fasthttp.StatusOK && p.loseAnswer() {
		closeWithoutResponse(ctx)
	}
}

// handleControl handles calls that configure or inspect the emulator itself,
// under the path /standin.
func (p *Platform) handleControl(ctx *fasthttp.RequestCtx, parts []string) {
	switch strings.Join(parts[1:], "/") {
	case "faults":
		var f PlatformFaults
		if !decodeBody(ctx, &f) {
			return
		}
		p.SetFaults(f)
	case "instances":
		var list savoryloft.InstanceList
		if !decodeBody(ctx, &list) {
			return
		}
		p.SetInstances(list.Instances)
	case "reports":
		respondJSON(ctx, p.Reports())
	case "orders":
		respondJSON(ctx, p.Orders())
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (p *Platform) handleAppend(ctx *fasthttp.RequestCtx, name string) {
	var req savoryloft.AppendRequest
	if !decodeBody(ctx, &req) {
		return
	}
	respondJSON(ctx, savoryloft.AppendResult{Offset: p.append(name, req.Records)})
}

func (p *Platform) append(name string, records []string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	offset := s.earliest + len(s.records)
	s.records = append(s.records, records...)
	p.appends++
	if p.Retention > 0 {
		p.trim(s, p.Retention)
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

func (p *Platform) trim(s *stream, keep int) {
	if n := len(s.records) - keep; n > 0 {
		s.records = append([]string(nil), s.records[n:]...)
		s.earliest += n
	}
}

func (p *Platform) handleRead(ctx *fasthttp.RequestCtx, name string) {
	args := ctx.QueryArgs()
	from := args.GetUintOrZero("from")
	limit := args.GetUintOrZero("limit")
	wait, _ := time.ParseDuration(string(args.Peek("wait")))
	deadline := time.After(wait)
	for {
		res, ok, grown := p.read(name, from, limit)
		if !ok {
			ctx.Error("expired", fasthttp.StatusGone)
			return
		}
		if len(res.Records) > 0 || limit == 0 {
			respondJSON(ctx, res)
			return
		}
		select {
		case <-grown:
		case <-deadline:
			respondJSON(ctx, res)
			return
		}
	}
}

func (p *Platform) read(name string, from, limit int) (savoryloft.ReadResult, bool, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	res := savoryloft.ReadResult{Earliest: s.earliest, Next: s.earliest + len(s.records)}
	if limit == 0 {
		return res, true, s.appended
	}
	if from < s.earliest {
		return res, false, s.appended
	}
	for o := from; o < res.Next && len(res.Records) < limit; o++ {
		res.Records = append(res.Records, savoryloft.LogRecord{Offset: o, Data: s.records[o-s.earliest]})
	}
	return res, true, s.appended
}

func (p *Platform) stream(name string) *stream {
	if p.streams == nil {
		p.streams = map[string]*stream{}
	}
	s, ok := p.streams[name]
	if !ok {
		s = &stream{appended: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

func (p *Platform) setList(list []savoryloft.ListedInstance) {
	p.list = append([]savoryloft.ListedInstance(nil), list...)
	p.listHistory = append(p.listHistory, listVersion{at: time.Now(), list: p.list})
}

func (p *Platform) delayedList() []savoryloft.ListedInstance {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := time.Now().Add(-p.faults.ListLag.Std())
	var list []savoryloft.ListedInstance
	for _, v := range p.listHistory {
		if !v.at.After(until) {
			list = v.list
		}
	}
	return list
}

func (p *Platform) handleOrder(ctx *fasthttp.RequestCtx) {
	var o savoryloft.Order
	if !decodeBody(ctx, &o) {
		return
	}
	upstream, err := p.placeOrder(o)
	switch {
	case errors.Is(err, savoryloft.ErrFenced):
		ctx.Error(err.Error(), fasthttp.StatusConflict)
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusInsufficientStorage)
	default:
		respondJSON(ctx, savoryloft.OrderResult{Upstream: upstream})
	}
}

// placeOrder executes an order. It doesn't deduplicate by the order's ID, so an
// order received twice is executed twice. It returns ErrFenced for an outdated
// fencing token and ErrNoCapacity if no upstream can be started.
func (p *Platform) placeOrder(o savoryloft.Order) (upstream string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fences == nil {
		p.fences = map[string]int{}
	}
	if o.Fence < p.fences[o.FailureDomain] && !p.faults.IgnoreFences {
		return "", savoryloft.ErrFenced
	}
	p.fences[o.FailureDomain] = max(p.fences[o.FailureDomain], o.Fence)
	upstream = o.Upstream
	if o.Action == savoryloft.OrderActionStart {
		if p.faults.NoCapacity || p.Start == nil {
			return "", savoryloft.ErrNoCapacity
		}
		row, err := p.Start(o)
		if err != nil {
			return "", errors.WithType(err, savoryloft.ErrNoCapacity)
		}
		upstream = row.Name
		p.setList(append(p.list, row))
	} else {
		p.stopUpstream(o)
	}
	p.orders = append(p.orders, PlacedOrder{Order: o, Upstream: upstream, Time: time.Now()})
	return upstream, nil
}

func (p *Platform) stopUpstream(o savoryloft.Order) {
	var list []savoryloft.ListedInstance
	for _, i := range p.list {
		if i.Name != o.Upstream {
			list = append(list, i)
		}
	}
	p.setList(list)
	if p.Stop != nil {
		p.Stop(o)
	}
}

func (p *Platform) handleFindOrder(ctx *fasthttp.RequestCtx, id string) {
	for _, o := range p.Orders() {
		if o.Order.ID == id {
			respondJSON(ctx, savoryloft.OrderResult{Upstream: o.Upstream})
			return
		}
	}
	ctx.Error("no such order", fasthttp.StatusNotFound)
}

func (p *Platform) handleReport(ctx *fasthttp.RequestCtx, window string) {
	w, err := strconv.Atoi(window)
	if err != nil {
		ctx.Error("window is not a number", fasthttp.StatusBadRequest)
		return
	}
	r := ReceivedReport{Window: w, Fence: ctx.QueryArgs().GetUintOrZero("fence"), Body: string(ctx.PostBody())}
	p.addReport(r)
}

func (p *Platform) addReport(r ReceivedReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports = append(p.reports, r)
}

// closeWithoutResponse closes the connection without a response.
func closeWithoutResponse(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

func (p *Platform) loseCall() bool { return consumeFault(&p.mu, &p.faults.LoseCalls) }

func (p *Platform) loseAnswer() bool { return consumeFault(&p.mu, &p.faults.LoseAnswers) }

// consumeFault decrements the remaining count of a fault and reports whether it
// was above zero.
func consumeFault(mu *sync.Mutex, left *int) bool {
	mu.Lock()
	defer mu.Unlock()
	if *left == 0 {
		return false
	}
	*left--
	return true
}

// decodeBody parses the JSON body into v. On failure it responds with 400 and
// returns false.
func decodeBody(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func respondJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
