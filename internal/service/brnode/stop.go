package brnode

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/service/brfront"
	"bergamotroad.example/bergamotroad/internal/service/brshutdown"
)

const (
	closeTimeout = 2 * time.Second
	// stepMargin is added to the expected duration of a step to get its bound, so
	// that a step which uses all its time is not reported as failed.
	stepMargin = time.Second
)

// OnLeave adds a step that runs at the beginning of a stop, while the VM still
// serves. It must be called before Run.
func (n *Node) OnLeave(step brshutdown.Step) {
	n.leaveSteps = append(n.leaveSteps, step)
}

// stop announces that the VM leaves, drains it and closes the fronts. After a
// failure of the VM itself it does not wait until the callers' look-ups expire.
func (n *Node) stop(ctx context.Context, cause error) error {
	n.logger.Info("VM stops", "vm", n.settings.VM(), "cause", cause)
	n.leave()
	steps := append([]brshutdown.Step{}, n.leaveSteps...)
	if cause == nil {
		steps = append(steps, n.waitForLookups(), n.drainRequests(n.settings.Drain().Requests()))
		steps = append(steps, n.drainClaims(), n.returnSharesStep())
	} else {
		// Without its duties the VM can't complete requests.
		steps = append(steps, n.drainRequests(closeTimeout))
	}
	steps = append(steps, n.closeOtherFronts())
	defer n.closeFronts()
	err := brshutdown.NewSequence(n.logger, n.timeline, steps...).Run(brshutdown.Context(ctx))
	return errors.Join(err, cause)
}

// leave announces that the VM leaves: it records an event, makes /readyz answer 503 and
// closes each connection after its next response.
func (n *Node) leave() {
	n.leaving.Store(true)
	n.timeline.Record(brevent.New(brevent.KindVMLeaving))
	for _, f := range n.fronts {
		f.DisableKeepAlives()
	}
}

// waitForLookups returns the step that keeps serving until the look-ups that name
// this VM have expired at the callers.
func (n *Node) waitForLookups() brshutdown.Step {
	wait := n.settings.Drain().Lookups()
	return brshutdown.NewStep("outlast look-ups", wait+stepMargin, func(ctx context.Context) error {
		timer := n.clock.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C():
		case <-ctx.Done():
		}
		return nil
	})
}

// drainRequests returns the step that waits for the running requests of callers.
func (n *Node) drainRequests(timeout time.Duration) brshutdown.Step {
	return brshutdown.NewStep("finish requests", timeout+stepMargin, func(ctx context.Context) error {
		return n.shutdown(ctx, func(f *brfront.Front) bool { return f.Name() == frontCallers })
	})
}

// returnSharesStep returns the step that returns this VM's shares of rate limits.
func (n *Node) returnSharesStep() brshutdown.Step {
	return brshutdown.NewStep("give shares back", returnSharesTimeout+stepMargin, func(ctx context.Context) error {
		n.returnShares(ctx)
		return nil
	})
}

// closeOtherFronts returns the step that shuts down the fronts for other VMs and
// operators. They are the last to close, since both use them during the stop.
func (n *Node) closeOtherFronts() brshutdown.Step {
	return brshutdown.NewStep("close fronts", closeTimeout, func(ctx context.Context) error {
		return n.shutdown(ctx, func(f *brfront.Front) bool { return f.Name() != frontCallers })
	})
}

func (n *Node) shutdown(ctx context.Context, include func(*brfront.Front) bool) error {
	errs := []error{}
	for _, f := range n.fronts {
		if include(f) {
			errs = append(errs, f.Shutdown(ctx))
		}
	}
	return errors.Join(errs...)
}

// withReadiness answers /readyz with status 503 once the VM leaves.
func (n *Node) withReadiness(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/readyz" && n.leaving.Load() {
			http.Error(w, "the VM is leaving", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}
