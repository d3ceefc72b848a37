package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	revokeBound = 5000 * time.Millisecond // revoke_ms, strict.
	copyAge     = 6 * time.Second         // Of the copy when the store goes away.
	awayTime    = time.Second
	rewriteTime = 1500 * time.Millisecond // After which the operator has written its configuration again.
)

// era is the case of a key that is taken away, and of a store that then comes back from a
// copy in which it still is, while the process of one instance is killed. The numbers of
// the eras begin with ERA in the environment, or 0.
func era(w *world, trouble bool) (bool, error) {
	first := 0
	if os.Getenv("ERA") == "1" {
		first = 1
	}
	if err := w.startPlatform(first); err != nil {
		return false, err
	}
	var revokedAt atomic.Int64 // Unix time of the ack in ms; 0 before.
	var late atomic.Int64
	var sentAt sync.Map // Unix times in ms, by ID, of the requests with the key.
	handle := func(r *runner, c net.Conn, req *http.Request, _ []byte) bool {
		id := req.Header.Get("X-Attempt-Id")
		sent, watched := sentAt.Load(id)
		if at := revokedAt.Load(); watched && at > 0 && sent.(int64) > at+revokeBound.Milliseconds() {
			late.Add(1)
			w.log("CONFIG: %s runs %s for %s, sent %d ms after its key was taken away", r.id, id, req.Header.Get("X-Tenant"), sent.(int64)-at)
		}
		answer(c, 200, map[string]string{"X-Attempt-Id": id, "X-Server-Signature": "s." + r.id}, []byte("ok"))
		return true
	}
	for _, id := range []string{"i-1", "i-2"} {
		if _, err := w.addRunner(id, "app", handle); err != nil {
			return false, err
		}
	}
	version := func(n int, keys ...string) map[string]any {
		c := config(n, []map[string]any{route("short", "/short/", "idempotent", "app", nil)}, []string{"app"})
		c["tenants"] = []map[string]any{{"name": "t1", "api_keys": []string{"key-1"}}, {"name": "t2", "api_keys": keys}}
		return c
	}
	w.publish(version(3, "key-2", "key-3"))
	entries, err := w.startEntries(3)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	go w.logTotals(stop)
	var clients sync.WaitGroup
	for k, key := range []string{"key-1", "key-2", "key-3"} {
		clients.Go(func() { w.keepAsking(entries, k, key, &sentAt, stop) })
	}
	time.Sleep(5 * time.Second)
	copied := w.store.copyTopics()
	w.log("a copy of the store is taken")
	time.Sleep(200 * time.Millisecond)
	w.publish(version(7, "key-3"))
	revokedAt.Store(time.Now().UnixMilli())
	time.Sleep(copyAge)
	if trouble {
		w.store.setDown(true)
		w.log("the store is away")
		entries[0].kill()
		time.Sleep(awayTime)
		w.store.restore(copied)
		w.log("the store is back from the copy, era %d", w.store.era)
		if err := entries[0].startProcess(); err != nil {
			return false, err
		}
		time.Sleep(rewriteTime)
		w.publish(version(7, "key-3"))
	}
	time.Sleep(5 * time.Second)
	close(stop)
	clients.Wait()
	w.log("%d requests whose key had been taken away more than %s before ran", late.Load(), revokeBound)
	return late.Load() > 0, nil
}

// keepAsking sends requests with a key to all instances in turn until stop.
func (w *world) keepAsking(entries []*entry, client int, key string, sentAt *sync.Map, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
		id := fmt.Sprintf("q-%d-%d", client, n)
		if key == "key-2" {
			sentAt.Store(id, time.Now().UnixMilli())
		}
		w.totals.sent.Add(1)
		head := fmt.Sprintf("GET /short/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2000\r\nAuthorization: Token %s\r\n\r\n", id, key)
		status, _, _, err := request(entries[n%len(entries)].frontend, head, nil, 3*time.Second)
		w.totals.count(status, err)
	}
}
