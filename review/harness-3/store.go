package main

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswerTime is the time that the store takes for a call, as the deployment's sheet says.
const storeAnswerTime = 4 * time.Millisecond

// maxRows is the largest number of rows in one answer.
const maxRows = 500

// row is a row of the store. A removed row stays as its own tombstone for the feed.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

// contents are the rows of the store with its counter. They are never changed in place.
type contents struct {
	rows    map[rowID]row
	version uint64
}

func (c contents) clone() contents {
	return contents{rows: maps.Clone(c.rows), version: c.version}
}

// copyOfStore is what the store held at a time.
type copyOfStore struct {
	at       time.Time
	contents contents
}

// store is a stand-in of the platform's store. It follows PROTOCOL.md and, in a drill,
// LETTER-STORE.md.
type store struct {
	mutex   sync.Mutex
	changed chan struct{} // closed and replaced at each change
	now     contents
	copies  []copyOfStore // oldest first
	away    bool
	era     int
	started time.Time
	reads   map[string]int // calls by path
	gone    int            // answers with status 410
	refused int            // calls beyond the rates
	rates   map[string]*rate
}

// rate counts the calls of the current second.
type rate struct {
	limit  int
	second int64
	calls  int
}

func (r *rate) allow(now time.Time) bool {
	if second := now.Unix(); second != r.second {
		r.second, r.calls = second, 0
	}
	r.calls++
	return r.calls <= r.limit
}

const (
	writesPerSecond = 400
	readsPerSecond  = 2000
)

func newStore() *store {
	return &store{
		changed: make(chan struct{}), now: contents{rows: map[rowID]row{}}, era: 1, started: time.Now(), reads: map[string]int{},
		rates: map[string]*rate{http.MethodGet: {limit: readsPerSecond}, http.MethodPost: {limit: writesPerSecond}},
	}
}

// put writes a row as the operator and the servers do, and returns its version.
func (s *store) put(table, key, value string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(row{Table: table, Key: key, Value: []byte(value)})
	s.announce()
	return s.now.version
}

// remove removes a row as the operator and the servers do.
func (s *store) remove(table, key string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(row{Table: table, Key: key, Deleted: true})
	s.announce()
	return s.now.version
}

// get returns the value of a row, or "".
func (s *store) get(table, key string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.now.rows[rowID{table, "", key}]
	if r.Deleted {
		return ""
	}
	return string(r.Value)
}

// write must be called with the mutex held.
func (s *store) write(r row) {
	s.now.version++
	r.Version = s.now.version
	s.now.rows[rowID{r.Table, r.Part, r.Key}] = r
}

func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// keepCopies takes a copy of the store at each interval until stop is closed.
func (s *store) keepCopies(interval time.Duration, stop <-chan struct{}) {
	for {
		s.mutex.Lock()
		s.copies = append(s.copies, copyOfStore{at: time.Now(), contents: s.now.clone()})
		s.mutex.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
	}
}

// leave makes the store be away: it answers 503 and does nothing.
func (s *store) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = true
	s.announce()
}

// comeBack ends the time away with the newest copy that is at least age old. It returns the
// age of that copy, and the versions lost and restored.
func (s *store) comeBack(age time.Duration) (time.Duration, uint64, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now, lost := time.Now(), s.now.version
	for _, c := range slices.Backward(s.copies) {
		if now.Sub(c.at) < age {
			continue
		}
		s.now, s.away = c.contents.clone(), false
		s.era++
		s.announce()
		return now.Sub(c.at), lost, s.now.version
	}
	s.away = false
	s.announce()
	return 0, lost, s.now.version
}

type answer struct {
	status int
	Rows   []row   `json:"rows"`
	More   bool    `json:"has_more"`
	Newest uint64  `json:"row_version"`
	Now    float64 `json:"now_s"`
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeAnswerTime)
	a := s.answer(r, body)
	w.Header().Set("Content-Type", "application/json")
	s.mutex.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mutex.Unlock()
	w.WriteHeader(a.status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *store) answer(r *http.Request, body []byte) answer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads[r.URL.Path]++
	switch {
	case s.away:
		return s.plain(http.StatusServiceUnavailable)
	case !s.rates[r.Method].allow(time.Now()):
		s.refused++
		return s.plain(http.StatusTooManyRequests)
	}
	query := r.URL.Query()
	switch r.URL.Path {
	case "/rows-get":
		return s.list(query.Get("table"), query.Get("part"), query.Get("from"), query.Get("target"), number(query.Get("limit")))
	case "/rows-feed":
		return s.feed(r, query.Get("table"), uint64(number(query.Get("after"))), time.Duration(number(query.Get("wait_ms")))*time.Millisecond)
	case "/rows-tx":
		return s.transact(body)
	default:
		return s.plain(http.StatusNotFound)
	}
}

func number(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}

func (s *store) plain(status int) answer {
	return answer{status: status, Rows: []row{}, Newest: s.now.version, Now: time.Since(s.started).Seconds()}
}

func (s *store) list(table, part, from, target string, limit int) answer {
	a := s.plain(http.StatusOK)
	for id, r := range s.now.rows {
		if id.table == table && id.part == part && !r.Deleted && id.key >= from && (target == "" || id.key < target) {
			a.Rows = append(a.Rows, r)
		}
	}
	slices.SortFunc(a.Rows, func(x, y row) int { return strings.Compare(x.Key, y.Key) })
	if limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	if len(a.Rows) > limit {
		a.Rows, a.More = a.Rows[:limit], true
	}
	return a
}

// feed waits for changes after a version. A version that the store doesn't have gets 410. The
// mutex is held at the call and at the return.
func (s *store) feed(r *http.Request, table string, after uint64, wait time.Duration) answer {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for ended := wait <= 0; ; {
		switch {
		case s.away:
			return s.plain(http.StatusServiceUnavailable)
		case after > s.now.version:
			s.gone++
			return s.plain(http.StatusGone)
		}
		a := s.plain(http.StatusOK)
		for _, row := range s.now.rows {
			if row.Table == table && row.Version > after {
				a.Rows = append(a.Rows, row)
			}
		}
		if len(a.Rows) > 0 || ended {
			slices.SortFunc(a.Rows, func(x, y row) int { return int(int64(x.Version) - int64(y.Version)) })
			return a
		}
		changed := s.changed
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		s.mutex.Lock()
	}
}

type transaction struct {
	Expected []row `json:"expected"`
	Upserts  []row `json:"upserts"`
	Remove   []row `json:"remove"`
}

func (s *store) transact(body []byte) answer {
	t := transaction{}
	if json.Unmarshal(body, &t) != nil {
		return s.plain(http.StatusBadRequest)
	}
	for _, list := range [][]row{t.Upserts, t.Remove} {
		for _, r := range list {
			if r.Table == "op" || r.Table == "servers" {
				return s.plain(http.StatusForbidden)
			}
		}
	}
	for _, e := range t.Expected {
		current := s.now.rows[rowID{e.Table, e.Part, e.Key}]
		if current.Deleted {
			current = row{}
		}
		if current.Version != e.Version {
			a := s.plain(http.StatusPreconditionFailed)
			a.Rows = append(a.Rows, current)
			return a
		}
	}
	for _, r := range t.Upserts {
		s.write(row{Table: r.Table, Part: r.Part, Key: r.Key, Value: r.Value})
	}
	for _, r := range t.Remove {
		s.write(row{Table: r.Table, Part: r.Part, Key: r.Key, Deleted: true})
	}
	s.announce()
	return s.plain(http.StatusOK)
}

// counts returns the calls so far by path, the answers with 410 and the refused calls.
func (s *store) counts() (map[string]int, int, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.reads), s.gone, s.refused
}
