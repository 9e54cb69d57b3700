package brplatform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"

	"bergamotroad.example/bergamotroad/internal/peer/brobject"
)

// ObjectStore is an in-memory object store. It implements brobject.Store and, as an
// http.Handler, the server side of the protocol that brobject.Client uses.
type ObjectStore struct {
	mutex   sync.Mutex
	faults  *Faults
	objects map[string][]byte
}

// NewObjectStore returns an empty store.
func NewObjectStore(faults *Faults) *ObjectStore {
	return &ObjectStore{faults: faults, objects: map[string][]byte{}}
}

// Put stores a copy of an object.
func (o *ObjectStore) Put(ctx context.Context, name string, data []byte) error {
	if err := o.faults.beforeCall(ctx); err != nil {
		return brobject.NewErrUnavailable(err)
	}
	o.mutex.Lock()
	o.objects[name] = bytes.Clone(data)
	o.mutex.Unlock()
	if err := o.faults.afterWrite(ctx); err != nil {
		return brobject.NewErrUnavailable(err)
	}
	return nil
}

// Get returns an object. The caller must not change the slice.
func (o *ObjectStore) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.faults.beforeCall(ctx); err != nil {
		return nil, brobject.NewErrUnavailable(err)
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	data, ok := o.objects[name]
	if !ok {
		return nil, brobject.NewErrObjectNotExist(name)
	}
	return data, nil
}

// ServeHTTP serves PUT and GET requests for objects.
func (o *ObjectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, "/")
	switch r.Method {
	case http.MethodPut:
		o.servePut(w, r, name)
	case http.MethodGet:
		o.serveGet(w, r, name)
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

func (o *ObjectStore) servePut(w http.ResponseWriter, r *http.Request, name string) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := o.Put(r.Context(), name, data); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func (o *ObjectStore) serveGet(w http.ResponseWriter, r *http.Request, name string) {
	data, err := o.Get(r.Context(), name)
	if brobject.IsErrObjectNotExist(err) {
		http.NotFound(w, r)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write(data)
}
