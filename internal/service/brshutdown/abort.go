package brshutdown

import "context"

type abortKey struct{}

// WithAbort returns a copy of ctx, whose end begins a graceful shutdown, with the context
// whose end aborts that shutdown.
func WithAbort(ctx, abort context.Context) context.Context {
	return context.WithValue(ctx, abortKey{}, abort)
}

// Context returns the context for the shutdown that the end of ctx begins. It ends only if
// the shutdown is aborted.
func Context(ctx context.Context) context.Context {
	if abort, ok := ctx.Value(abortKey{}).(context.Context); ok {
		return abort
	}
	return context.WithoutCancel(ctx)
}

// IsAborted reports whether the shutdown that the end of ctx begins was aborted.
func IsAborted(ctx context.Context) bool { return Context(ctx).Err() != nil }
