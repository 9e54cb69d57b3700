package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// rowKey identifies a row of the store.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row of the store as its API shows it. The value is encoded in base64.
type row struct {
	rowKey
	Value   []byte `json:"value"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's table service. It keeps the whole history.
type store struct {
	mutex   sync.Mutex
	version uint64
	rows    map[rowKey]row // deleted rows are kept as such
	changed chan struct{}  // closed at the next change
	started time.Time
	server  *http.Server
}

func newStore(address string) (*store, error) {
	s := &store{rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now()}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("GET /rows-parts", s.parts)
	mux.HandleFunc("POST /rows-tx", s.transact)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes rows in one transaction and returns its version.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.commit([]row{{rowKey: rowKey{Table: table, Key: key}, Value: encoded}})
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := rowKey{Table: table, Key: key}
	if r, ok := s.rows[id]; ok && !r.Deleted {
		s.commit([]row{{rowKey: id, Deleted: true}})
	}
}

// commit applies changes under the next version. The caller holds the mutex.
func (s *store) commit(changes []row) {
	s.version++
	for _, r := range changes {
		r.Version = s.version
		s.rows[r.rowKey] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// reply writes a reply with rows. The caller holds the mutex.
func (s *store) reply(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	body, _ := json.Marshal(map[string]any{
		"rows": rows, "has_more": more, "row_version": s.version, "now_s": time.Since(s.started).Seconds(),
	})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(query.Get("limit")); err == nil && n > 0 {
		limit = min(n, limit)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := []row{}
	for id, candidate := range s.rows {
		inRange := id.Key >= query.Get("from") && (query.Get("target") == "" || id.Key < query.Get("target"))
		if id.Table == query.Get("table") && id.Part == query.Get("part") && inRange && !candidate.Deleted {
			found = append(found, candidate)
		}
	}
	slices.SortFunc(found, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	s.reply(w, http.StatusOK, found[:min(len(found), limit)], len(found) > limit)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		found := []row{}
		for id, candidate := range s.rows {
			if id.Table == query.Get("table") && candidate.Version > after {
				found = append(found, candidate)
			}
		}
		slices.SortFunc(found, func(a, b row) int { return int(int64(a.Version) - int64(b.Version)) })
		changed := s.changed
		if len(found) > 0 {
			s.reply(w, http.StatusOK, found, false)
			s.mutex.Unlock()
			return
		}
		s.mutex.Unlock()
		select {
		case <-changed:
			continue
		case <-r.Context().Done():
			return
		case <-timer.C:
		}
		s.mutex.Lock()
		s.reply(w, http.StatusOK, nil, false)
		s.mutex.Unlock()
		return
	}
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	parts := []string{}
	for id, candidate := range s.rows {
		if id.Table == r.URL.Query().Get("table") && !candidate.Deleted && !slices.Contains(parts, id.Part) {
			parts = append(parts, id.Part)
		}
	}
	slices.Sort(parts)
	body, _ := json.Marshal(map[string]any{"parts": parts, "has_more": false, "row_version": s.version})
	_, _ = w.Write(body)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	tx := struct {
		Expected []row    `json:"expected"`
		Upserts  []row    `json:"upserts"`
		Remove   []rowKey `json:"remove"`
	}{}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	changes := []row{}
	for _, u := range tx.Upserts {
		changes = append(changes, row{rowKey: u.rowKey, Value: u.Value})
	}
	for _, id := range tx.Remove {
		if existing, ok := s.rows[id]; ok && !existing.Deleted {
			changes = append(changes, row{rowKey: id, Deleted: true})
		}
	}
	for _, c := range changes {
		if c.Table == "op" || c.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, e := range tx.Expected {
		current, ok := s.rows[e.rowKey]
		version := uint64(0)
		if ok && !current.Deleted {
			version = current.Version
		}
		if version != e.Version {
			s.reply(w, http.StatusPreconditionFailed, []row{current}, false)
			return
		}
	}
	if len(changes) > 0 {
		s.commit(changes)
	}
	s.reply(w, http.StatusOK, nil, false)
}
