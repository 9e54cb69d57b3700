package brentry

import (
	"context"
	"maps"
	"math"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
	"bergamotroad.example/bergamotroad/internal/model/brsync"
	"bergamotroad.example/bergamotroad/internal/peer/brentrypb"
)

const (
	// maxSyncWait bounds the time for which another VM may wait for changes.
	maxSyncWait = 2 * time.Second
	// syncResponseTimeout is the time within which a VM must begin its response, in
	// addition to the time that it may wait: a few round trips between regions.
	// The rest of the response may take longer to arrive over a slow link.
	syncResponseTimeout = 300 * time.Millisecond
	// maxCoveredMilliseconds bounds the time without a gap that another VM reports.
	maxCoveredMilliseconds = uint64(365 * 24 * time.Hour / time.Millisecond)
	// maxServerUse bounds the counts that other VMs report for one server, so that sums stay
	// in range.
	maxServerUse = 1 << 20
)

// errNoResponse cancels a request to a VM that does not begin its response in time.
var errNoResponse = errors.New("VM did not begin its response in time")

// Syncer provides records to other VMs and receives their status reports.
type Syncer interface {
	// Sync receives the report of a VM in a region. It returns the records that are
	// newer than the VM's revisions, and the status of the fleet.
	Sync(ctx context.Context, vm, region string, known brrecord.Revisions, wait time.Duration, report brstatus.Status) (brsync.Update, error)
	// Exchange receives the status of another region and returns this VM's region
	// and its status.
	Exchange(ctx context.Context, region string, status brstatus.Status) (string, brstatus.Status, error)
	// Borrow grants or refuses one request of an organisation out of the quota that
	// the VMs of the region share.
	Borrow(ctx context.Context, organisation string) (brsync.Grant, error)
}

// NewSyncHandler returns the handler by which other VMs call a Syncer.
func NewSyncHandler(syncer Syncer) http.Handler {
	server := brentrypb.NewSyncingServer(&syncServer{syncer: syncer})
	mux := http.NewServeMux()
	mux.Handle(server.PathPrefix(), server)
	return withCompression(mux)
}

type syncServer struct {
	syncer Syncer
}

// Sync serves a VM that follows this one.
func (s *syncServer) Sync(ctx context.Context, request *brentrypb.SyncRequest) (*brentrypb.SyncReply, error) {
	known := decodeRevisions(request.GetRevisions())
	wait := min(time.Duration(request.GetWaitMilliseconds())*time.Millisecond, maxSyncWait)
	update, err := s.syncer.Sync(ctx, request.GetVm(), request.GetRegion(), known, wait, decodeStatus(request.GetReport()))
	if err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, err.Error()), err)
	}
	reply := &brentrypb.SyncReply{
		Fleet:                encodeStatus(update.Fleet()),
		FleetAgeMilliseconds: uint32(max(update.FleetAge().Milliseconds(), 0)),
		ReadsStore:           update.ReadsStore(),
		Lends:                update.IsLender(),
	}
	for _, b := range update.Batches() {
		reply.Areas = append(reply.Areas, encodeBatch(b))
	}
	return reply, nil
}

// Exchange serves a VM of another region.
func (s *syncServer) Exchange(ctx context.Context, request *brentrypb.ExchangeRequest) (*brentrypb.ExchangeReply, error) {
	region, status, err := s.syncer.Exchange(ctx, request.GetRegion(), decodeStatus(request.GetStanding()))
	if err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, err.Error()), err)
	}
	return &brentrypb.ExchangeReply{Region: region, Standing: encodeStatus(status)}, nil
}

// Borrow serves a VM whose own part of a quota is used up.
func (s *syncServer) Borrow(ctx context.Context, request *brentrypb.BorrowRequest) (*brentrypb.BorrowReply, error) {
	grant, err := s.syncer.Borrow(ctx, request.GetOrganisation())
	if err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, err.Error()), err)
	}
	return &brentrypb.BorrowReply{Granted: grant.Granted(), WaitMilliseconds: uint32(max(grant.RetryAfter().Milliseconds(), 0))}, nil
}

func encodeRevisions(revisions brrecord.Revisions) []uint64 {
	numbers := make([]uint64, len(revisions))
	for i, revision := range revisions {
		numbers[i] = uint64(revision)
	}
	return numbers
}

// decodeRevisions returns the revisions of the areas that both VMs know.
func decodeRevisions(numbers []uint64) brrecord.Revisions {
	revisions := brrecord.Revisions{}
	for i, number := range numbers[:min(len(numbers), len(revisions))] {
		revisions[i] = brrecord.Revision(number)
	}
	return revisions
}

func encodeBatch(batch brrecord.Batch) *brentrypb.AreaMessage {
	area := &brentrypb.AreaMessage{
		Area:            uint32(batch.Area()),
		Revision:        uint64(batch.Revision()),
		Whole:           batch.Full(),
		AgeMilliseconds: uint32(max(batch.Age().Milliseconds(), 0)),

		CoveredMilliseconds: uint64(max(batch.Coverage().Length().Milliseconds(), 0)),
		AfterOutage:         batch.Coverage().AfterOutage(),
	}
	for _, r := range batch.Records() {
		area.Records = append(area.Records, &brentrypb.RecordMessage{
			Key:      r.Key(),
			Revision: uint64(r.Revision()),
			Payload:  r.Payload(),
			Deleted:  r.Deleted(),
		})
	}
	return area
}

func decodeBatch(area *brentrypb.AreaMessage) (brrecord.Batch, error) {
	kind := brrecord.Area(area.GetArea())
	if kind < 0 || kind >= brrecord.AreaCount {
		return brrecord.Batch{}, errors.Errorf("area %d is unknown", area.GetArea())
	}
	records := make([]brrecord.Record, 0, len(area.GetRecords()))
	for _, r := range area.GetRecords() {
		revision := brrecord.Revision(r.GetRevision())
		record := brrecord.New(kind, r.GetKey(), revision, r.GetPayload())
		if r.GetDeleted() {
			record = record.WithDeleted(revision)
		}
		records = append(records, record)
	}
	age := time.Duration(area.GetAgeMilliseconds()) * time.Millisecond
	covered := time.Duration(min(area.GetCoveredMilliseconds(), maxCoveredMilliseconds)) * time.Millisecond
	coverage := brrecord.NewCoverage(covered, area.GetAfterOutage())
	return brrecord.NewBatch(kind, records, brrecord.Revision(area.GetRevision()), area.GetWhole()).WithAge(age).WithCoverage(coverage), nil
}

func encodeStatus(status brstatus.Status) *brentrypb.StandingMessage {
	message := &brentrypb.StandingMessage{
		Members:  status.Members(),
		Demands:  status.Demands(),
		Rollouts: encodeLedger(status.Ledger()),
	}
	for vm, age := range status.Stopping() {
		message.Left = append(message.Left, &brentrypb.LeftMessage{Vm: vm, AgeMilliseconds: uint32(max(age.Milliseconds(), 0))})
	}
	for server, use := range status.Servers() {
		message.ServerKeys = append(message.ServerKeys, uint32(server))
		message.ServerRunning = append(message.ServerRunning, use.Running())
		message.ServerBad = append(message.ServerBad, use.Bad())
		message.ServerAll = append(message.ServerAll, use.All())
	}
	for _, notice := range status.Poison() {
		message.Poison = append(message.Poison, encodeNotice(notice))
	}
	message.Cases = encodeCases(time.Now(), status.Cases())
	message.Usage = encodeUsage(status.Usage())
	return message
}

func decodeStatus(message *brentrypb.StandingMessage) brstatus.Status {
	notices := []brrequest.PoisonNotice{}
	for _, m := range message.GetPoison() {
		if notice, ok := decodeNotice(m); ok {
			notices = append(notices, notice)
		}
	}
	stopping := make(map[string]time.Duration, len(message.GetLeft()))
	for _, m := range message.GetLeft() {
		stopping[m.GetVm()] = time.Duration(m.GetAgeMilliseconds()) * time.Millisecond
	}
	return brstatus.New(message.GetMembers(), validDemands(message.GetDemands()), decodeLedger(message.GetRollouts())).WithPoison(notices).WithStopping(stopping).
		WithCases(decodeCases(time.Now(), message.GetCases())).
		WithUsage(decodeUsage(message.GetUsage())).
		WithServers(decodeServers(message))
}

// decodeServers returns what VMs have at servers. A message whose lists differ in length
// says nothing.
func decodeServers(message *brentrypb.StandingMessage) map[brstatus.ServerKey]brstatus.ServerUse {
	keys, running, bad, all := message.GetServerKeys(), message.GetServerRunning(), message.GetServerBad(), message.GetServerAll()
	servers := make(map[brstatus.ServerKey]brstatus.ServerUse, len(keys))
	if len(running) != len(keys) || len(bad) != len(keys) || len(all) != len(keys) {
		return servers
	}
	for i, key := range keys {
		servers[brstatus.ServerKey(key)] = brstatus.NewServerUse(min(running[i], maxServerUse)).
			WithOutcomes(min(bad[i], maxServerUse), min(all[i], maxServerUse))
	}
	return servers
}

// validDemands drops demands that are no rates: sums with them would be useless on all VMs.
func validDemands(demands map[string]float64) map[string]float64 {
	maps.DeleteFunc(demands, func(_ string, rate float64) bool {
		return math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0
	})
	return demands
}

// SyncClient calls the Syncers of other VMs.
type SyncClient struct {
	client *http.Client
}

// NewSyncClient returns a client over the connections to other VMs.
func NewSyncClient(connector *Connector) *SyncClient {
	return &SyncClient{client: &http.Client{Transport: newCompressingTransport(connector.Transport())}}
}

// Sync reports to the VM at host:port and returns the records that are new there.
func (c *SyncClient) Sync(ctx context.Context, address, vm, region string, known brrecord.Revisions, wait time.Duration, report brstatus.Status) (brsync.Update, error) {
	ctx, cancel := withResponseTimeout(ctx, wait+syncResponseTimeout)
	defer cancel()
	peer := brentrypb.NewSyncingProtobufClient("http://"+address, c.client)
	reply, err := peer.Sync(ctx, &brentrypb.SyncRequest{
		Vm:               vm,
		Region:           region,
		Revisions:        encodeRevisions(known),
		WaitMilliseconds: uint32(wait.Milliseconds()),
		Report:           encodeStatus(report),
	})
	if err != nil {
		return brsync.Update{}, errors.Errorf("sync with VM: %w", err)
	}
	batches := make([]brrecord.Batch, 0, len(reply.GetAreas()))
	for _, area := range reply.GetAreas() {
		batch, err := decodeBatch(area)
		if err != nil {
			return brsync.Update{}, err
		}
		batches = append(batches, batch)
	}
	age := time.Duration(reply.GetFleetAgeMilliseconds()) * time.Millisecond
	return brsync.NewUpdate(batches, decodeStatus(reply.GetFleet()), age).
		WithReadsStore(reply.GetReadsStore()).
		WithLender(reply.GetLends()), nil
}

// withResponseTimeout returns a context that is cancelled if no response has begun
// within the limit.
func withResponseTimeout(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(limit, func() { cancel(errNoResponse) })
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { timer.Stop() }})
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// Exchange sends the status of a region to the VM at host:port. It returns the
// region of that VM and its status.
func (c *SyncClient) Exchange(ctx context.Context, address, region string, status brstatus.Status) (string, brstatus.Status, error) {
	peer := brentrypb.NewSyncingProtobufClient("http://"+address, c.client)
	reply, err := peer.Exchange(ctx, &brentrypb.ExchangeRequest{Region: region, Standing: encodeStatus(status)})
	if err != nil {
		return "", brstatus.Status{}, errors.Errorf("exchange status with VM: %w", err)
	}
	return reply.GetRegion(), decodeStatus(reply.GetStanding()), nil
}

// Borrow asks the VM at host:port to grant one request of an organisation.
func (c *SyncClient) Borrow(ctx context.Context, address, organisation string) (brsync.Grant, error) {
	peer := brentrypb.NewSyncingProtobufClient("http://"+address, c.client)
	reply, err := peer.Borrow(ctx, &brentrypb.BorrowRequest{Organisation: organisation})
	if err != nil {
		return brsync.Grant{}, errors.Errorf("borrow quota from VM: %w", err)
	}
	return brsync.NewGrant(reply.GetGranted(), time.Duration(reply.GetWaitMilliseconds())*time.Millisecond), nil
}
