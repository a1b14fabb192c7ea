package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeLatency is the time that the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// Store is a stand-in of the platform's store: a log whose topics have one partition.
type Store struct {
	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
	address string
	server  *http.Server
	// rejects reports whether a call is rejected with 503; nil rejects none.
	rejects func(r *http.Request) bool
}

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{topics: make(map[string][][]byte), changed: make(chan struct{}), address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.append)
	mux.HandleFunc("GET /v1/log-newest", s.newest)
	mux.HandleFunc("GET /v1/log-read", s.read)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		s.mu.Lock()
		rejects := s.rejects
		s.mu.Unlock()
		if rejects != nil && rejects(r) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Reject sets which calls are rejected.
func (s *Store) Reject(rejects func(r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejects = rejects
}

// Put writes the record of a key; a record without a value drops the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.add(topic, append(record, value...))
}

// PutJSON writes the record of a key as JSON.
func (s *Store) PutJSON(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.Put(topic, key, data)
}

func (s *Store) add(topic string, record []byte) {
	s.topics[topic] = append(s.topics[topic], record)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	topic := r.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	end := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = fmt.Fprintf(w, `{"end_offset":%d}`, end)
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.add(topic, body[4:4+size])
		body = body[4+size:]
	}
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end_offset":%d}`, end, len(s.topics[topic]))
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[r.URL.Query().Get("topic")]
	newest := make(map[string]int)
	for offset, record := range records {
		key, value := split(record)
		if newest[key] = offset; len(value) == 0 {
			delete(newest, key)
		}
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := make([]item, 0, len(newest))
	for key, offset := range newest {
		_, value := split(records[offset])
		items = append(items, item{key, base64.StdEncoding.EncodeToString(value), offset})
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end_offset": len(records)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		body, changed := s.from(query.Get("topic"), from)
		if len(body) > 16 {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			_, _ = w.Write(body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// from returns the answer to a read and a channel that is closed at the next change.
func (s *Store) from(topic string, from int) ([]byte, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[topic]
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, record := range records[min(from, len(records)):] {
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	return body, s.changed
}

func split(record []byte) (key string, value []byte) {
	size := 1 + int(record[0])
	return string(record[1:size]), record[size:]
}
