package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// route returns the record of a route in a configuration.
func route(name, prefix, kind, service string, extra map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": "h.example", "path_prefix": prefix, "route_kind": kind, "timeout_ms": 6000, "goal_ms": 2500,
		"priority": 1, "service": service, "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
	}
	for k, v := range extra {
		r[k] = v
	}
	return r
}

// config returns a configuration with one tenant, "t1", whose key is "key-1".
func config(version int, routes []map[string]any, services []string) map[string]any {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "t1", "api_keys": []string{"key-1"}, "priority": 1}},
	}
}

// nestedRoute is the case of a non-idempotent request whose route is removed while it runs
// and whose answer is lost then.
func nestedRoute(w *world, trouble bool) (bool, error) {
	if err := w.startPlatform(1); err != nil {
		return false, err
	}
	var mu sync.Mutex
	runs := map[string]int{}
	losing := false
	handle := func(r *runner, c net.Conn, req *http.Request, _ []byte) bool {
		id := req.Header.Get("X-Attempt-Id")
		mu.Lock()
		runs[id]++
		n := runs[id]
		mu.Unlock()
		w.log("%s runs %s (%s %s), run %d", r.id, id, req.Method, req.URL.Path, n)
		time.Sleep(1500 * time.Millisecond)
		mu.Lock()
		lose := losing && n == 1
		mu.Unlock()
		if lose {
			w.log("%s has run %s; its answer is lost, the channel is reset", r.id, id)
			reset(c)
			return false
		}
		answer(c, 200, map[string]string{"X-Attempt-Id": id, "X-Server-Signature": "s." + r.id}, []byte("booked"))
		return true
	}
	for _, id := range []string{"i-1", "i-2"} {
		if _, err := w.addRunner(id, "app", handle); err != nil {
			return false, err
		}
	}
	all := route("stock", "/stock/", "idempotent", "app", nil)
	booking := route("book", "/stock/book/", "non_idempotent", "app", map[string]any{"max_attempts": 1})
	w.publish(config(3, []map[string]any{all, booking}, []string{"app"}))
	e, err := w.startEntries(1)
	if err != nil {
		return false, err
	}
	for i := range 5 {
		id := fmt.Sprintf("booking-%d", i)
		done := make(chan struct{})
		go func() {
			defer close(done)
			head := fmt.Sprintf("POST /stock/book/%d HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 6000\r\nAuthorization: Token key-1\r\nContent-Length: 4\r\n\r\n", i, id)
			w.log("client sends %s", id)
			status, _, body, err := request(e[0].frontend, head, []byte("rack"), 8*time.Second)
			w.log("client gets %d %q, error %v, for %s", status, body, err, id)
		}()
		time.Sleep(500 * time.Millisecond)
		if trouble && i == 2 {
			mu.Lock()
			losing = true
			mu.Unlock()
			w.publish(config(5, []map[string]any{all}, []string{"app"}))
		}
		<-done
		if trouble && i == 2 {
			break
		}
	}
	broken := false
	mu.Lock()
	defer mu.Unlock()
	for id, n := range runs {
		if n > 1 {
			w.log("TWICE: %s has run %d times", id, n)
			broken = true
		}
	}
	return broken, nil
}
