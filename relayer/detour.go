package relayer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/detourer"
	"savoryloft.example/savoryloft/exchanger"
)

// An instance that cannot reach the upstreams sends requests on through another one, which
// handles them like those of its own clients, but for two things: it does not send them on
// once more, and the number of upstreams that may run them is what the first instance has
// left.

const (
	maxDetours        = 3                      // Instances to which a request is sent until one takes it.
	detourDialTimeout = 200 * time.Millisecond // Instances are a few ms apart.
	// detourFailures is the number of upstreams that a request fails to connect to before
	// it is sent through another instance, if none can be connected to.
	detourFailures = 2
	fromPeer       = "FromPeer" // User value of requests of other instances.
)

// HandleDetour handles a request that another instance sends on.
func (r *Relayer) HandleDetour(httpCtx *fasthttp.RequestCtx) {
	httpCtx.SetUserValue(fromPeer, true)
	r.Handle(httpCtx)
}

// acceptDetour checks a request that another instance may have sent on. It refuses the
// request and returns false if it does not bear the token of this instance, or if this
// instance cannot take it.
func (x *exchange) acceptDetour() bool {
	if x.httpCtx.UserValue(fromPeer) == nil {
		return true
	}
	r := x.relayer
	x.fromPeer = true
	switch {
	case !r.Detours.Authorize(x.call.Detour.Token):
		x.httpCtx.SetConnectionClose()
		x.refuse(http.StatusForbidden, "NoToken", "request is not from an instance of this deployment", 0)
		x.httpCtx.Response.Header.Set(r.Wire.DetourHeader(), savoryloft.DetourRefused) // It may be, from one that knows an earlier token.
		return false
	case r.Stopping() || r.Detours.CutOff():
		x.refuseDetour()
		return false
	}
	return true
}

// refuseDetour refuses a request of another instance, which sends it elsewhere. It has not
// run.
func (x *exchange) refuseDetour() {
	x.refuse(http.StatusServiceUnavailable, "NoWay", "instance cannot reach the upstreams; the request has not run", upstreamsFullRetryAfter)
	x.httpCtx.Response.Header.Set(x.relayer.Wire.DetourHeader(), savoryloft.DetourRefused)
}

// limitAttempts reduces the number of upstreams that may run a request of another instance
// to what that one has left.
func (x *exchange) limitAttempts() {
	if x.fromPeer && x.call.Detour.Attempts < x.route.MaxAttempts {
		route := *x.route
		route.MaxAttempts = max(x.call.Detour.Attempts, 1)
		x.route = &route
	}
}

// mustDetour reports whether the request should be sent through another instance after a
// failure, rather than to another upstream.
func (x *exchange) mustDetour(e *sendError) bool {
	if x.ctx.Err() != nil || x.unreachable == 0 {
		return false
	}
	d := x.relayer.Detours
	failures := x.unreachable >= detourFailures || errors.Is(e.cause, errNoUpstream)
	if !d.CutOff() && (!failures || d.CanConnect(x.ctx)) {
		return false
	}
	return x.possibleRuns == 0 || x.retryable() && x.possibleRuns < x.route.MaxAttempts &&
		x.stillPermitted() && x.takeRetry()
}

// detour sends the request through another instance and responds to the client. It returns
// false if no instance takes it; it has not run there.
func (x *exchange) detour() bool {
	r := x.relayer
	if x.fromPeer {
		if x.possibleRuns > 0 {
			return false
		}
		x.refuseDetour()
		return true
	}
	tried := map[string]bool{}
	for range maxDetours {
		target, ok := r.Detours.Choose(tried)
		if !ok || x.ctx.Err() != nil {
			return false
		}
		tried[target.Instance] = true
		taken, e := x.detourTo(target)
		switch {
		case taken:
			return true
		case e.execution == maybeExecuted:
			x.possibleRuns++ // The other instance counts it for usage.
			x.respondToFailure(e)
			return true
		}
		r.Detours.Pause(target.Instance, detourer.RefusalPause)
		r.Logger.Info("another instance did not take a request", "id", x.call.ID, "instance", target.Instance, "error", e.Error())
	}
	return false
}

// detourTo sends the request through an instance. It returns false, and the error, if that
// does not respond or does not take it.
func (x *exchange) detourTo(target savoryloft.Detour) (taken bool, failure *sendError) {
	r := x.relayer
	x.upstream = target.Instance
	dialCtx, cancel := context.WithTimeout(x.ctx, detourDialTimeout)
	defer cancel()
	conn, err := r.Pool.Get(dialCtx, target.Address, exchanger.Recent)
	if err != nil {
		r.Detours.Pause(target.Instance, detourer.SilencePause)
		return false, &sendError{notExecuted, err}
	}
	d := savoryloft.DetourDispatch{Token: target.Token, Attempts: x.route.MaxAttempts - x.possibleRuns}
	head := r.Wire.AppendDetour(nil, &x.call, time.Until(x.deadline), d)
	x.sends++
	err = conn.Send(x.ctx, head, x.call.Body, defaultReadTimeout)
	var resp *http.Response
	if err == nil {
		resp, err = conn.ReadResponse(x.ctx, x.call.Method)
	}
	if err != nil {
		defer conn.Release()
		if !conn.Sent() {
			return false, &sendError{notExecuted, err}
		}
		return false, &sendError{maybeExecuted, err}
	}
	h := r.Wire.DecodeAnswer(resp)
	if h.EventStream && h.StatusCode == http.StatusOK && h.Length < 0 {
		x.timeToResponse = time.Since(x.received)
		x.writeResponseHead(h)
		x.httpCtx.Response.ImmediateHeaderFlush = true
		x.httpCtx.Response.SetBodyStream(&detouredStream{exchange: x, conn: conn, response: resp}, -1)
		return true, nil
	}
	body, err := conn.ReadResponseBody(x.ctx, resp, maxResponseBytes)
	conn.Release() // Before the exchange ends, which closes connections that are in use.
	if err != nil {
		return false, &sendError{maybeExecuted, err}
	}
	if resp.Header.Get(r.Wire.DetourHeader()) == savoryloft.DetourRefused {
		return false, &sendError{notExecuted, errors.New("it cannot reach the upstreams either")}
	}
	if x.possibleRuns > 0 && !h.Signed {
		// What the other instance says of the request holds for what happened there only.
		return false, &sendError{maybeExecuted, errors.Errorf("it responded with status %d", h.StatusCode)}
	}
	x.timeToResponse = time.Since(x.received)
	x.writeResponseHead(h)
	if x.client != nil {
		x.client.holdResponse(r.Memory, len(body))
	}
	x.httpCtx.Response.SetBodyRaw(body)
	x.finish("Detoured", h.StatusCode)
	return true, nil
}

// detouredStream is the body of a stream that another instance passes on.
type detouredStream struct {
	exchange *exchange
	conn     *exchanger.Conn
	response *http.Response
	ended    bool
}

// Read implements io.Reader. On an error other than io.EOF the server closes the connection,
// so that the client does not mistake a truncated response for a complete one.
func (s *detouredStream) Read(p []byte) (int, error) {
	n, err := s.response.Body.Read(p)
	switch {
	case err == nil || n > 0:
		return n, nil
	case errors.Is(err, io.EOF) && !exchanger.IsUnframed(s.response):
		s.conn.MarkComplete()
		s.end("Detoured")
		return 0, io.EOF
	}
	s.end("StreamBroken")
	return 0, errors.Annotatef(io.ErrUnexpectedEOF, "stream from %s: %s", s.exchange.upstream, err)
}

// end releases the connection and finishes the exchange, once.
func (s *detouredStream) end(outcome string) {
	if s.ended {
		return
	}
	s.ended = true
	s.conn.Release()
	s.exchange.finish(outcome, s.response.StatusCode)
}

// Close implements io.Closer. If the stream has not ended by then, the client has
// disconnected.
func (s *detouredStream) Close() error {
	if !s.ended {
		s.exchange.cancel(errClientDisconnected)
		s.end("CallerLeft")
	}
	return nil
}

var _ io.ReadCloser = (*detouredStream)(nil)
