package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"bergamotroad.example/bergamotroad/platform/brstandin"
)

const (
	// uploadSize is above the size up to which VMs buffer a request body.
	uploadSize  = 2 << 20 // bytes
	uploadPause = 400 * time.Millisecond
	// firstUploader is the lowest number of a caller that sends uploads.
	firstUploader = 2000
	// uploadStream is the PCG stream from which the first uploader draws, so that the
	// requests of the other callers of older seeds stay the same.
	uploadStream = 1 << 42
)

// uploadResponseSizes are below and above the size up to which VMs buffer a response.
var uploadResponseSizes = []int64{1 << 10, 512 << 10}

// startUploaders starts a caller of each failure domain that sends uploads.
func (d *deployment) startUploaders(ctx context.Context, seed uint64, callers *callerGroup) {
	for i := range domains {
		c := newClient(d, seed, firstUploader+i, &callers.served)
		c.random = rand.New(rand.NewPCG(seed, uploadStream+uint64(i)))
		callers.wait.Go(func() { c.runUploads(ctx) })
	}
}

// runUploads sends uploads until ctx is cancelled.
func (c *client) runUploads(ctx context.Context) {
	defer c.caller.Close()
	for ctx.Err() == nil {
		c.lookUp(ctx)
		if v := c.pickVM(); v != nil {
			c.upload(ctx, v)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.random.Int64N(int64(2 * uploadPause)))):
		}
	}
}

// upload sends an upload and records its outcome. The server responds to one in two before it
// has read all of the body.
func (c *client) upload(ctx context.Context, v *entryVM) {
	route, organisation := initialRoutes()[1], initialOrganisations()[0].Name()
	key := "key-" + organisation
	c.sent++
	id := fmt.Sprintf("c%d-%d", c.number, c.sent)
	early := brstandin.NewEarlyResponse(id, uploadSize, uploadResponseSizes[c.random.IntN(2)])
	if c.random.IntN(2) == 0 {
		early = brstandin.NewEarlyResponse(id, c.random.Int64N(uploadSize), early.Size())
	}
	if c.random.IntN(2) == 0 {
		early = early.WithHold()
	}
	path, wait := route.Prefix()+"upload?"+early.Query(), route.Timeout()+time.Second
	upload := brstandin.NewUpload(id, path, uploadSize, brstandin.Framing(c.random.IntN(3)), wait).
		WithFields(http.Header{"X-Credential": {key}, "X-Tenant": {"forged"}})
	if c.random.IntN(4) == 0 {
		upload = upload.WithExpectation()
	}
	r := &request{
		call: brstandin.NewCall(id, http.MethodPost, path, "", key, wait), route: route, organisation: organisation,
		vm: v.spec.Name(), vmRegion: v.spec.Region(),
	}
	c.deployment.checker.recordSend(r)
	response := upload.Send(ctx, v.callerProxy.address())
	if response.Err() != nil && ctx.Err() != nil {
		c.deployment.checker.recordDisconnect(r)
	}
	c.deployment.checker.recordOutcome(r, response.ResponseTo(r.call, early), response.Err())
	if response.Err() != nil {
		c.excludeVM(v)
	}
}

// uploadCounts counts the uploads that servers read.
type uploadCounts struct {
	whole  atomic.Int64
	cutOff atomic.Int64
}

// checkBody checks that a server read the bytes of an upload, all of them or the first ones
// with a visible end.
func (c *checker) checkBody(body brstandin.ReceivedBody) {
	if body.Complete() {
		c.uploads.whole.Add(1)
	} else {
		c.uploads.cutOff.Add(1)
	}
	if err := body.Check(uploadSize); err != nil {
		c.reportViolation(fmt.Sprintf("UNASKED: %s: %v", body.ID(), err))
	}
}
