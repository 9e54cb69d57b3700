package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// row is a row of the store, as it stands in answers.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is an in-memory stand-in of the platform's metadata store. It is always up.
type store struct {
	mutex   sync.Mutex
	changed chan struct{} // closed at each change, and replaced
	rows    map[rowKey]row
	version uint64
	start   time.Time
}

func newStore() *store {
	return &store{changed: make(chan struct{}), rows: map[rowKey]row{}, start: time.Now()}
}

// put writes a row, as the operator and the servers do.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(row{Table: table, Key: key, Value: data})
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(row{Table: table, Key: key, Deleted: true})
}

func (s *store) write(r row) {
	s.version++
	r.Version = s.version
	s.rows[rowKey{r.Table, r.Part, r.Key}] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// reply is an answer about rows. The caller holds the mutex.
func (s *store) reply(rows []row) map[string]any {
	return map[string]any{"rows": rows, "has_more": false, "row_version": s.version, "now_s": time.Since(s.start).Seconds()}
}

// ServeHTTP serves rows-get, rows-feed and rows-tx.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	status, answer := http.StatusNotFound, map[string]any{}
	switch r.URL.Path {
	case "/rows-get":
		status, answer = s.get(r)
	case "/rows-feed":
		status, answer = s.feed(r)
	case "/rows-tx":
		status, answer = s.commit(r)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// get returns the rows of a table. The stand-in keeps far fewer than a page of them.
func (s *store) get(r *http.Request) (int, map[string]any) {
	query := r.URL.Query()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := []row{}
	for _, candidate := range s.rows {
		if candidate.Table == query.Get("table") && candidate.Part == query.Get("part") && !candidate.Deleted && candidate.Key >= query.Get("from") {
			rows = append(rows, candidate)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return http.StatusOK, s.reply(rows)
}

// feed returns the rows that changed after a version, and waits for the first one.
func (s *store) feed(r *http.Request) (int, map[string]any) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for last := false; ; {
		s.mutex.Lock()
		rows := []row{}
		for _, candidate := range s.rows {
			if candidate.Table == query.Get("table") && candidate.Version > after {
				rows = append(rows, candidate)
			}
		}
		if len(rows) > 0 || last {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
			answer := s.reply(rows)
			s.mutex.Unlock()
			return http.StatusOK, answer
		}
		changed := s.changed
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-timeout:
			last = true
		case <-r.Context().Done():
			last = true
		}
	}
}

type transaction struct {
	Expected []row `json:"expected"`
	Upserts  []row `json:"upserts"`
	Remove   []row `json:"remove"`
}

// commit applies a transaction, or nothing if a row has not the expected version.
func (s *store) commit(r *http.Request) (int, map[string]any) {
	t := transaction{}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, expected := range t.Expected {
		current := s.rows[rowKey{expected.Table, expected.Part, expected.Key}]
		if current.Deleted {
			current.Version = 0
		}
		if current.Version != expected.Version {
			return http.StatusPreconditionFailed, s.reply([]row{current})
		}
	}
	for _, upsert := range t.Upserts {
		upsert.Deleted = false
		s.write(upsert)
	}
	for _, removed := range t.Remove {
		removed.Deleted, removed.Value = true, nil
		s.write(removed)
	}
	return http.StatusOK, s.reply([]row{})
}
