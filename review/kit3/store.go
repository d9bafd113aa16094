// Package kit3 holds the stand-ins of the third review: the platform's store, backend servers,
// callers and the processes under test. They speak as the users' pages say.
package kit3

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxPageItems  = 500
	recordHeader  = 4
	maxReadWait   = 30 * time.Second
	keyedPrefix   = "keyed."
	eraHeader     = "Store-Era"
	defaultMaxGet = 1024
)

type record struct {
	data []byte
	at   time.Time
}

// Store is a stand-in of the platform's store: topics with one partition each, and the drill
// in which it comes back from an older copy.
type Store struct {
	listener net.Listener

	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{}
	era     int
	down    bool
}

// NewStore starts an empty store at a host.
func NewStore(host string) (*Store, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s := &Store{listener: l, topics: make(map[string][]record), changed: make(chan struct{}), era: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.serveAppend)
	mux.HandleFunc("GET /api/log-read", s.serveRead)
	mux.HandleFunc("GET /api/log-newest", s.serveNewest)
	server := &http.Server{Handler: s.admit(mux), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return s, nil
}

// Address returns host:port.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Era returns the current era.
func (s *Store) Era() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key of a keyed topic and returns the time of the ack. It reports false while
// the store is away. An empty value deletes the key.
func (s *Store) Put(topic, key string, value []byte) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return time.Time{}, false
	}
	data := append([]byte{byte(len(key))}, key...)
	s.topics[topic] = append(s.topics[topic], record{data: append(data, value...), at: time.Now()})
	s.wake()
	return time.Now(), true
}

// SetDown takes the store away, which resets all calls, or brings it back.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// Restore brings the store back from a copy of the given time, in the next era. It returns the
// number of records that are lost.
func (s *Store) Restore(copied time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := 0
	for name, records := range s.topics {
		kept := slices.IndexFunc(records, func(r record) bool { return r.at.After(copied) })
		if kept >= 0 {
			lost += len(records) - kept
			s.topics[name] = slices.Clone(records[:kept])
		}
	}
	s.era++
	s.down = false
	s.wake()
	return lost
}

// admit resets the calls that arrive while the store is away, and states the era.
func (s *Store) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down, era := s.down, s.era
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(eraHeader, strconv.Itoa(era))
		next.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	topic := r.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		panic(http.ErrAbortHandler)
	}
	end := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"endOffset": end})
		return
	}
	for len(body) >= recordHeader {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < recordHeader+n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.topics[topic] = append(s.topics[topic], record{data: slices.Clone(body[recordHeader : recordHeader+n]), at: time.Now()})
		body = body[recordHeader+n:]
	}
	s.wake()
	writeJSON(w, http.StatusOK, map[string]int{"offset": end, "endOffset": len(s.topics[topic])})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	source, err := strconv.Atoi(q.Get("source"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(q.Get("maxSize"))
	if err != nil || limit <= 0 {
		limit = defaultMaxGet
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(min(time.Duration(wait)*time.Millisecond, maxReadWait))
	s.mu.Lock()
	era := s.era
	for {
		if s.down || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		records := s.topics[q.Get("topic")]
		if source > len(records) || source < 0 {
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]int{"startOffset": 0})
			return
		}
		if source < len(records) || wait == 0 {
			s.mu.Unlock()
			writeRecords(w, len(records), records[source:min(len(records), source+limit)])
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
}

func writeRecords(w io.Writer, end int, records []record) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r.data)))
		out = append(out, r.data...)
	}
	_, _ = w.Write(out)
}

type newestItem struct {
	Key    string `json:"key"`
	Data   string `json:"data"`
	Offset int    `json:"offset"`
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	topic, after := r.URL.Query().Get("topic"), r.URL.Query().Get("after")
	if !strings.HasPrefix(topic, keyedPrefix) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	records := s.topics[topic]
	s.mu.Unlock()
	newest := make(map[string]newestItem)
	for offset, rec := range records {
		n := int(rec.data[0])
		key, value := string(rec.data[1:1+n]), rec.data[1+n:]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = newestItem{Key: key, Data: base64.StdEncoding.EncodeToString(value), Offset: offset}
	}
	items := make([]newestItem, 0, len(newest))
	for key, item := range newest {
		if key > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b newestItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > maxPageItems
	if more {
		items = items[:maxPageItems]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": len(records)})
}
