// Package brplatform provides in-memory fakes of the platform's services: the
// table service, the object store and the list of VMs. Faults can be injected
// into them. Only tests and the demo use them.
//
// # Usage
//
//	faults := brplatform.NewFaults()
//	table := brplatform.NewTable(faults)
//	server := httptest.NewServer(table)
//	faults.SetDown(true)
package brplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"

	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

// maxRequestBytes is the maximum size of a request body in bytes.
const maxRequestBytes = 8 << 20

// Table is an in-memory table service. It implements brtable.Table and, as an
// http.Handler, the server side of the protocol that brtable.Client uses.
type Table struct {
	mutex    sync.Mutex
	faults   *Faults
	revision int64
	rows     map[string]brtable.Row
	reads    int
	commits  int
}

// NewTable returns an empty table.
func NewTable(faults *Faults) *Table {
	return &Table{faults: faults, rows: map[string]brtable.Row{}}
}

// Reads returns how many reads and scans the table has served.
func (t *Table) Reads() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.reads
}

// Commits returns how many transactions the table has served, including those whose
// preconditions failed.
func (t *Table) Commits() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.commits
}

// Read returns a row.
func (t *Table) Read(ctx context.Context, key string) (brtable.Row, error) {
	if err := t.faults.beforeCall(ctx); err != nil {
		return brtable.Row{}, brtable.NewErrUnavailable(err)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.reads++
	row, ok := t.rows[key]
	if !ok {
		return brtable.Row{}, brtable.NewErrRowNotExist(key)
	}
	return row, nil
}

// Scan returns the rows whose keys start with a prefix, sorted by key.
func (t *Table) Scan(ctx context.Context, prefix string) ([]brtable.Row, error) {
	if err := t.faults.beforeCall(ctx); err != nil {
		return nil, brtable.NewErrUnavailable(err)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.reads++
	rows := []brtable.Row{}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b brtable.Row) int { return strings.Compare(a.Key(), b.Key()) })
	return rows, nil
}

// Commit writes all rows of the transaction or none.
func (t *Table) Commit(ctx context.Context, transaction brtable.Transaction) error {
	if err := t.faults.beforeCall(ctx); err != nil {
		return brtable.NewErrUnavailable(err)
	}
	if err := t.commit(transaction); err != nil {
		return err
	}
	if err := t.faults.afterWrite(ctx); err != nil {
		return brtable.NewErrOutcomeUnknown(err)
	}
	return nil
}

func (t *Table) commit(transaction brtable.Transaction) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.commits++
	for _, p := range transaction.Preconditions() {
		if t.rows[p.Key()].Version() != p.Version() {
			return brtable.ErrPrecondition{}
		}
	}
	t.revision++
	for _, w := range transaction.Writes() {
		if w.Deletes() {
			delete(t.rows, w.Key())
			continue
		}
		t.rows[w.Key()] = brtable.NewRow(w.Key(), bytes.Clone(w.Value()), t.revision)
	}
	return nil
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type rangeResponse struct {
	Rows []keyValue `json:"kvs"`
}

type transactionRequest struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision int64  `json:"mod_revision,string"`
	} `json:"compare"`
	Success []struct {
		Put *struct {
			Key   []byte `json:"key"`
			Value []byte `json:"value"`
		} `json:"request_put"`
		Delete *struct {
			Key []byte `json:"key"`
		} `json:"request_delete_range"`
	} `json:"success"`
}

type transactionResponse struct {
	Succeeded bool `json:"succeeded"`
}

// ServeHTTP serves range and txn requests.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := http.MaxBytesReader(w, r.Body, maxRequestBytes)
	switch r.URL.Path {
	case "/v3/kv/range":
		t.serveRange(w, r, json.NewDecoder(body))
	case "/v3/kv/txn":
		t.serveTransaction(w, r, json.NewDecoder(body))
	default:
		http.NotFound(w, r)
	}
}

func (t *Table) serveRange(w http.ResponseWriter, r *http.Request, body *json.Decoder) {
	var request rangeRequest
	if err := body.Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rows, err := t.rangeRows(r.Context(), request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	response := rangeResponse{}
	for _, row := range rows {
		response.Rows = append(response.Rows, keyValue{Key: []byte(row.Key()), Value: row.Value(), ModRevision: row.Version()})
	}
	writeJSON(w, response)
}

func (t *Table) rangeRows(ctx context.Context, request rangeRequest) ([]brtable.Row, error) {
	if len(request.RangeEnd) > 0 {
		return t.Scan(ctx, string(request.Key))
	}
	row, err := t.Read(ctx, string(request.Key))
	if brtable.IsErrRowNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return []brtable.Row{row}, nil
}

func (t *Table) serveTransaction(w http.ResponseWriter, r *http.Request, body *json.Decoder) {
	var request transactionRequest
	if err := body.Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err := t.Commit(r.Context(), decodeTransaction(request))
	switch {
	case err == nil:
		writeJSON(w, transactionResponse{Succeeded: true})
	case brtable.IsErrPrecondition(err):
		writeJSON(w, transactionResponse{})
	case brtable.IsErrOutcomeUnknown(err):
		abort(w)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func decodeTransaction(request transactionRequest) brtable.Transaction {
	transaction := brtable.NewTransaction()
	for _, c := range request.Compare {
		transaction = transaction.Require(string(c.Key), c.ModRevision)
	}
	for _, s := range request.Success {
		if s.Put != nil {
			transaction = transaction.Put(string(s.Put.Key), s.Put.Value)
		}
		if s.Delete != nil {
			transaction = transaction.Delete(string(s.Delete.Key))
		}
	}
	return transaction
}

func writeJSON(w http.ResponseWriter, response any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

// abort closes the connection without a response.
func abort(_ http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}
