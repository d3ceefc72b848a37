// Package connector is the client of the platform's JSON API over HTTP: the append-only
// log, the list of instances, the failure domain interface and the usage-report
// interface.
//
// # Usage
//
//	c := &connector.Client{Address: "127.0.0.1:7000", Timeout: 2 * time.Second}
//	offset, err := c.Append(ctx, savoryloft.StreamControl, data)
//
// The client does not retry calls. It returns savoryloft.ErrUnavailable if a call had
// no effect, and savoryloft.ErrUnknownOutcome if the request may have been processed
// but its response was not received.
package connector

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/exchanger"
)

const maxResponseBytes = 64 << 20

// Client calls the platform's API. Set the exported fields before the first call;
// only Address is required.
type Client struct {
	Address string                                                      // Of the form "IP:port".
	Timeout time.Duration                                               // Of a call, to which Read adds its wait; 2 s if zero.
	Dial    func(ctx context.Context, address string) (net.Conn, error) // exchanger.DialTCP if nil.

	once sync.Once
	pool *exchanger.Pool
}

var (
	_ savoryloft.Log       = (*Client)(nil)
	_ savoryloft.Platform  = (*Client)(nil)
	_ savoryloft.UsageSink = (*Client)(nil)
)

// call is one HTTP request to the platform.
type call struct {
	method    string
	path      string
	body      []byte
	wait      time.Duration // Added to the timeout of the client.
	freshConn bool          // Use a new connection, which the server cannot have closed while it was idle.
	guard     func() error  // Called on the open connection, immediately before the request is sent; an error cancels the call.
}

// Append implements savoryloft.Log.
func (c *Client) Append(ctx context.Context, stream string, records ...[]byte) (int, error) {
	req := savoryloft.AppendRequest{Records: make([]string, len(records))}
	for i, r := range records {
		req.Records[i] = string(r)
	}
	body, err := json.Marshal(req)
	if err != nil {
		return 0, errors.Annotate(err, "encode append request")
	}
	var res savoryloft.AppendResult
	err = c.do(ctx, call{method: "POST", path: "/v1/streams/" + stream + "/records", body: body}, &res)
	return res.Offset, err
}

// Read implements savoryloft.Log.
func (c *Client) Read(ctx context.Context, stream string, from, limit int, wait time.Duration) (savoryloft.ReadResult, error) {
	path := fmt.Sprintf("/v1/streams/%s/records?from=%d&limit=%d&wait=%s", stream, from, limit, wait)
	var res savoryloft.ReadResult
	err := c.do(ctx, call{method: "GET", path: path, wait: wait}, &res)
	return res, err
}

// Instances implements savoryloft.Platform.
func (c *Client) Instances(ctx context.Context) ([]savoryloft.ListedInstance, error) {
	var list savoryloft.InstanceList
	err := c.do(ctx, call{method: "GET", path: "/v1/instances"}, &list)
	return list.Instances, err
}

// PlaceOrder implements savoryloft.Platform.
func (c *Client) PlaceOrder(ctx context.Context, order savoryloft.Order, guard func() error) (savoryloft.OrderResult, error) {
	var res savoryloft.OrderResult
	body, err := json.Marshal(order)
	if err != nil {
		return res, errors.Annotate(err, "encode order")
	}
	path := "/v1/domains/" + order.FailureDomain + "/orders"
	err = c.do(ctx, call{method: "POST", path: path, body: body, freshConn: true, guard: guard}, &res)
	return res, err
}

// FindOrder implements savoryloft.Platform.
func (c *Client) FindOrder(ctx context.Context, domain, id string) (savoryloft.OrderResult, error) {
	var res savoryloft.OrderResult
	err := c.do(ctx, call{method: "GET", path: "/v1/domains/" + domain + "/orders/" + id}, &res)
	return res, err
}

// SendReport implements savoryloft.UsageSink.
func (c *Client) SendReport(ctx context.Context, window int, body []byte, fence int, guard func() error) error {
	path := fmt.Sprintf("/v1/usage/%d?fence=%d", window, fence)
	return c.do(ctx, call{method: "PUT", path: path, body: body, freshConn: true, guard: guard}, nil)
}

// Close closes idle connections.
func (c *Client) Close() {
	if c.pool != nil {
		c.pool.CloseIdle()
	}
}

func (c *Client) init() {
	if c.Timeout == 0 {
		c.Timeout = 2 * time.Second
	}
	if c.Dial == nil {
		c.Dial = exchanger.DialTCP
	}
	c.pool = &exchanger.Pool{Dial: c.Dial}
}

// do sends a request and decodes the response into out, unless out is nil. It returns
// savoryloft.ErrUnavailable if no byte of the request was sent or the platform refused
// the request, savoryloft.ErrUnknownOutcome if sending or receiving failed later, and
// otherwise the error for the status code.
func (c *Client) do(ctx context.Context, call call, out any) error {
	c.once.Do(c.init)
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+call.wait)
	defer cancel()
	mode := exchanger.Reuse
	if call.freshConn {
		mode = exchanger.Fresh
	}
	conn, err := c.pool.Get(ctx, c.Address, mode)
	if err != nil {
		return errors.Annotatef(errors.WithType(err, savoryloft.ErrUnavailable), "%s %s", call.method, call.path)
	}
	defer conn.Release()
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.Address + call.path)
	req.Header.SetMethod(call.method)
	if call.body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(call.body)
	}
	if call.guard != nil {
		if err := call.guard(); err != nil {
			return errors.Annotatef(errors.WithType(err, savoryloft.ErrUnavailable), "%s %s", call.method, call.path)
		}
	}
	err = conn.Exchange(ctx, req, resp, c.Timeout+call.wait)
	var responseBody []byte
	if err == nil {
		responseBody, err = conn.ReadBody(ctx, resp, maxResponseBytes)
	}
	if err != nil {
		kind := savoryloft.ErrUnknownOutcome
		if !conn.Sent() {
			kind = savoryloft.ErrUnavailable
		}
		return errors.Annotatef(errors.WithType(err, kind), "%s %s", call.method, call.path)
	}
	return errors.Annotatef(c.decodeResponse(resp.StatusCode(), responseBody, out), "%s %s", call.method, call.path)
}

// decodeResponse decodes the body of a successful response into out and returns the
// error for any other status code.
func (c *Client) decodeResponse(status int, body []byte, out any) error {
	switch status {
	case fasthttp.StatusOK:
		if out == nil {
			return nil
		}
		return json.Unmarshal(body, out)
	case fasthttp.StatusGone:
		return savoryloft.ErrExpired
	case fasthttp.StatusConflict:
		return savoryloft.ErrFenced
	case fasthttp.StatusNotFound:
		return savoryloft.ErrNotFound
	case fasthttp.StatusInsufficientStorage:
		return savoryloft.ErrNoCapacity
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return savoryloft.ErrUnavailable
	default:
		return errors.Errorf("platform at %s returned status %d", c.Address, status)
	}
}
