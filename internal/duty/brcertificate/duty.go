package brcertificate

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

// Kinds of certificate events.
const (
	KindCertificateReplaced brevent.Kind = "certificate-replaced"
	KindCertificateBroken   brevent.Kind = "certificate-broken"
)

// checkPeriod is the interval between checks of the files.
const checkPeriod = 5 * time.Second

// Reloader is the duty that reloads certificates.
type Reloader struct {
	duty *brduty.Duty[struct{}, struct{}]
}

// New returns the duty that reloads the certificates of the stores.
func New(clock brclock.Clock, logger *log.Logger, events brevent.Recorder, stores ...*Store) *Reloader {
	h := &handler{logger: logger, events: events, stores: stores, lastErrors: make([]string, len(stores))}
	return &Reloader{duty: brduty.New("certificates", h, clock, brduty.WithPeriod(checkPeriod))}
}

// Duty returns the duty for a group to start.
func (r *Reloader) Duty() brduty.Runner { return r.duty }

type handler struct {
	logger     *log.Logger
	events     brevent.Recorder
	stores     []*Store
	lastErrors []string // last error of each store, so that each is reported once
}

// Handle does nothing: the duty receives no messages.
func (*handler) Handle(context.Context, struct{}) {}

// Update does nothing: the duty uses no snapshots.
func (*handler) Update(context.Context, struct{}) {}

// Tick reloads the files of all stores.
func (h *handler) Tick(context.Context, time.Time) {
	for i, s := range h.stores {
		h.reload(i, s)
	}
}

func (h *handler) reload(index int, store *Store) {
	replaced, err := store.Reload()
	if err != nil {
		h.reportError(index, store, err)
		return
	}
	h.lastErrors[index] = ""
	if !replaced {
		return
	}
	h.logger.Info("certificate replaced", "file", store.files.certificate, "expires", store.NotAfter())
	h.events.Record(brevent.New(KindCertificateReplaced).WithResource(store.files.certificate))
}

func (h *handler) reportError(index int, store *Store, err error) {
	if h.lastErrors[index] == err.Error() {
		return
	}
	h.lastErrors[index] = err.Error()
	h.logger.Error("failed to reload certificate, keeping the previous one", "file", store.files.certificate, "error", err)
	h.events.Record(brevent.New(KindCertificateBroken).
		WithResource(store.files.certificate).
		WithDetail("error", err.Error()))
}
