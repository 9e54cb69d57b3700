package brentry

import (
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
)

// Header fields of each request and each response between VMs.
const (
	headerVM         = "Bergamotroad-Vm"
	headerGeneration = "Bergamotroad-Generation"
)

// Generations provides the VM's own configuration generation and receives those
// of other VMs.
type Generations interface {
	// Generation returns the VM's own generation.
	Generation() uint64
	// ObserveGeneration receives the generation in a request or a response of another VM.
	ObserveGeneration(vm string, generation uint64)
}

// NewTransport returns a transport that adds the VM's generation to each request
// and passes the generation in the response to the Generations.
func NewTransport(vm string, generations Generations, next http.RoundTripper) http.RoundTripper {
	return &transport{vm: vm, generations: generations, next: next}
}

type transport struct {
	vm          string
	generations Generations
	next        http.RoundTripper
}

// RoundTrip sends one request.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	outgoing := request.Clone(request.Context())
	addGeneration(outgoing.Header, t.vm, t.generations)
	response, err := t.next.RoundTrip(outgoing)
	if err != nil {
		return nil, errors.Errorf("send to other VM: %w", err)
	}
	readGeneration(response.Header, t.generations)
	return response, nil
}

// WithGeneration wraps a handler so that it adds the VM's generation to each
// response and passes the generation in the request to the Generations.
func WithGeneration(vm string, generations Generations, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		readGeneration(r.Header, generations)
		next.ServeHTTP(&generationWriter{ResponseWriter: w, vm: vm, generations: generations}, r)
	})
}

// generationWriter adds the generation when the header is sent: it may have changed
// while a long poll was held.
type generationWriter struct {
	http.ResponseWriter
	vm          string
	generations Generations
	added       bool
}

// WriteHeader adds the generation and sends the header.
func (w *generationWriter) WriteHeader(status int) {
	w.addFields()
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body.
func (w *generationWriter) Write(data []byte) (int, error) {
	w.addFields()
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *generationWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *generationWriter) addFields() {
	if !w.added {
		w.added = true
		addGeneration(w.Header(), w.vm, w.generations)
	}
}

func addGeneration(header http.Header, vm string, generations Generations) {
	header.Set(headerVM, vm)
	header.Set(headerGeneration, strconv.FormatUint(generations.Generation(), 10))
}

func readGeneration(header http.Header, generations Generations) {
	generation, err := strconv.ParseUint(header.Get(headerGeneration), 10, 64)
	if err == nil {
		generations.ObserveGeneration(header.Get(headerVM), generation)
	}
}
