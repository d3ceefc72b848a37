package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// record is one record of a topic.
type record struct {
	key   string
	value []byte // Content without the key; nil if the key was dropped.
	raw   []byte // Content as it was appended.
}

// topic is partition 0 of a topic, which is the only one that is used.
type topic struct {
	records []record
}

// store emulates the platform's metadata store.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	era     int // Value of Store-Era.
	down    bool
	changed chan struct{}
	address string
	server  *http.Server
}

func newStore(era int) (*store, error) {
	s := &store{topics: map[string]*topic{}, era: era, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes a record of a keyed topic as the operator or a runner does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, append(append([]byte{byte(len(key))}, key...), value...))
}

// append adds a record. The caller holds the lock.
func (s *store) append(name string, raw []byte) {
	r := record{raw: raw}
	if isKeyed(name) && len(raw) > 0 && int(raw[0]) < len(raw) {
		n := int(raw[0])
		r.key = string(raw[1 : 1+n])
		if len(raw) > 1+n {
			r.value = raw[1+n:]
		}
	}
	t := s.topic(name)
	t.records = append(t.records, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func isKeyed(name string) bool { return len(name) > 6 && name[:6] == "keyed." }

// topic returns a topic. The caller holds the lock.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

// copyTopics returns a copy of all records.
func (s *store) copyTopics() map[string]*topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := map[string]*topic{}
	for name, t := range s.topics {
		c[name] = &topic{append([]record(nil), t.records...)}
	}
	return c
}

// restore brings the store back from a copy, in a new era.
func (s *store) restore(c map[string]*topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = c
	s.era++
	s.down = false
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	name := q.Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "GET /savoryloft/log-read":
		s.read(w, r, name)
	case "GET /savoryloft/log-newest":
		s.newest(w, name)
	case "POST /savoryloft/log-append":
		s.serveAppend(w, q.Get("at"), name, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// read responds to log-read. The caller holds the lock.
func (s *store) read(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	era := s.era
	for len(s.topic(name).records) == from && wait > 0 && !s.down && s.era == era {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			wait = 0
		}
		s.mu.Lock()
	}
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t := s.topic(name)
	if from > len(t.records) {
		writeJSON(w, http.StatusGone, map[string]any{"first_offset": 0})
		return
	}
	page := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	page = binary.BigEndian.AppendUint64(page, 0)
	for _, rec := range t.records[from:] {
		page = binary.BigEndian.AppendUint32(page, uint32(len(rec.raw)))
		page = append(page, rec.raw...)
	}
	_, _ = w.Write(page)
}

// newest responds to log-newest. The caller holds the lock.
func (s *store) newest(w http.ResponseWriter, name string) {
	t := s.topic(name)
	last := map[string]int{}
	for i, rec := range t.records {
		last[rec.key] = i
	}
	entries := []map[string]any{}
	for i, rec := range t.records {
		if last[rec.key] == i && rec.value != nil {
			entries = append(entries, map[string]any{"key": rec.key, "value": base64.StdEncoding.EncodeToString(rec.value), "offset": i})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"entries": entries, "has_more": false, "end_offset": len(t.records)})
}

// serveAppend responds to log-append. The caller holds the lock.
func (s *store) serveAppend(w http.ResponseWriter, at, name string, body []byte) {
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	first := len(s.topic(name).records)
	if n, err := strconv.Atoi(at); at != "" && (err != nil || n != first) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end_offset": first})
		return
	}
	for rest := body; len(rest) >= 4; {
		n := int(binary.BigEndian.Uint32(rest))
		if n > len(rest)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.append(name, append([]byte(nil), rest[4:4+n]...))
		rest = rest[4+n:]
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": first, "end_offset": len(s.topic(name).records)})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
