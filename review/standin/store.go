package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// store is a stand-in for the platform's store: a log whose topics are keyed and have one
// partition. It has one listener for each instance, so that it can tell who calls.
type store struct {
	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
	// readAt is when each instance last read the list of engines, by the instance's number.
	readAt map[int]time.Time
}

type storeRecord struct {
	key   string
	value []byte
}

func newStore() *store {
	return &store{topics: make(map[string][]storeRecord), changed: make(chan struct{}), readAt: make(map[int]time.Time)}
}

// put appends a record and returns the time of the acknowledgement.
func (s *store) put(topic, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// lastReader returns the instance that read the list of engines last.
func (s *store) lastReader() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, at := 0, time.Time{}
	for n, t := range s.readAt {
		if t.After(at) {
			last, at = n, t
		}
	}
	return last
}

// listen serves one instance and returns the address.
func (s *store) listen(instance int) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.append)
	mux.HandleFunc("GET /v1/log-newest", s.newest)
	mux.HandleFunc("GET /v1/log-read", func(w http.ResponseWriter, r *http.Request) { s.read(w, r, instance) })
	go func() { _ = http.Serve(listener, mux) }()
	return listener.Addr().String(), nil
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	topic := r.URL.Query().Get("topic")
	var records []storeRecord
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 || size < 1 || int(body[4]) >= size {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		record := body[4 : 4+size]
		key := 1 + int(record[0])
		records = append(records, storeRecord{string(record[1:key]), record[key:]})
		body = body[4+size:]
	}
	s.mu.Lock()
	offset := len(s.topics[topic])
	s.mu.Unlock()
	for _, record := range records {
		s.put(topic, record.key, record.value)
	}
	writeJSON(w, map[string]any{"offset": offset, "end_offset": offset + len(records)})
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	newest := make(map[string]int)
	for offset, record := range records {
		newest[record.key] = offset
		if len(record.value) == 0 {
			delete(newest, record.key)
		}
	}
	items := make([]map[string]any, 0, len(newest))
	for key, offset := range newest {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(records[offset].value), "offset": offset})
	}
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i]["key"].(string) < items[j]["key"].(string) })
	writeJSON(w, map[string]any{"items": items, "has_more": false, "end_offset": len(records)})
}

// read answers once there is a record, or after the time for which the caller waits.
func (s *store) read(w http.ResponseWriter, r *http.Request, instance int) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	topic := query.Get("topic")
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := wait == 0; ; {
		s.mu.Lock()
		if topic == "keyed.servers" {
			s.readAt[instance] = time.Now()
		}
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if len(records) > from || expired {
			_, _ = w.Write(encodeRead(records, from))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func encodeRead(records []storeRecord, from int) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, record := range records[min(from, len(records)):] {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.key)+len(record.value)))
		body = append(body, byte(len(record.key)))
		body = append(body, record.key...)
		body = append(body, record.value...)
	}
	return body
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
