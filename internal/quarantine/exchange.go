package quarantine

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/panics"
)

// The methods that instances call on each other.
const (
	ReportMethod = "quarantine-report"
	SyncMethod   = "quarantine-sync"
)

const (
	// reportInterval is the minimum time between two reports, so that one report carries several entries.
	reportInterval = 10 * time.Millisecond
	// syncInterval is the mean time between two comparisons with another instance, which make up for lost reports.
	// firstSyncInterval is the time between attempts until the first one has succeeded.
	syncInterval      = 10 * time.Second
	firstSyncInterval = 50 * time.Millisecond
	// callTimeout limits a call: a few round trips, on a busy processor.
	callTimeout = 400 * time.Millisecond
	// maxReported bounds the entries in one report, which has to fit in a frame between instances.
	maxReported = 48
	// maxSynced bounds the entries in one answer to a comparison.
	maxSynced = 512
	// maxRelayTries is the number of instances of a zone that are asked to pass on a report.
	maxRelayTries = 3
	// relayRetryInterval is how long an instance that failed is not asked to pass on reports.
	relayRetryInterval = 5 * time.Second
	// maxParallelCalls bounds the calls that are made at the same time, and maxRelays the reports that are being passed on.
	maxParallelCalls, maxRelays = 16, 4
)

// relayRole is the key by which the instance of a zone is chosen that passes reports on to the others.
const relayRole = "quarantine"

// PeerClient calls a method of another instance.
type PeerClient interface {
	Call(ctx context.Context, address, method string, params, into any) error
}

// Options are the dependencies of an Exchange.
type Options struct {
	Self   directory.Instance
	Ledger *Ledger
	Peers  PeerClient
	// LastAnswer returns when the process of a replica last answered this instance; zero if it never did. It is used to
	// reject false reports; nil accepts all.
	LastAnswer func(replica fleet.ServerID, startedAt int64) time.Time
	Random     *rand.Rand
}

// Exchange shares the entries of the ledger with the other instances. Changes go to one instance of each zone at once,
// which passes them on to the others of its zone. From time to time each instance compares its ledger with that of
// another one. Exchange is safe for concurrent use.
type Exchange struct {
	Options

	mutex     sync.Mutex
	instances []directory.Instance
	skipUntil map[fleet.InstanceID]time.Time
	relays    chan struct{}
}

// NewExchange returns an exchange that knows no other instance.
func NewExchange(options Options) *Exchange {
	return &Exchange{Options: options, skipUntil: make(map[fleet.InstanceID]time.Time), relays: make(chan struct{}, maxRelays)}
}

// SetInstances sets the known entry instances. The slice must not change.
func (x *Exchange) SetInstances(instances []directory.Instance) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.instances = instances
}

// Run shares changes until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { x.runReports(ctx) })
	running.Go(func() { x.runSyncs(ctx) })
	running.Wait()
}

func (x *Exchange) runReports(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-x.Ledger.changed:
		case <-ctx.Done():
			return
		}
		x.guarded("report crashes of replicas", func() {
			for messages := x.Ledger.takeUnshared(maxReported, time.Now()); len(messages) > 0; messages = x.Ledger.takeUnshared(maxReported, time.Now()) {
				x.report(ctx, messages)
			}
		})
		sleep(ctx, reportInterval)
	}
}

func (x *Exchange) runSyncs(ctx context.Context) {
	interval := firstSyncInterval
	for ctx.Err() == nil {
		sleep(ctx, interval)
		x.guarded("compare quarantine with another instance", func() {
			if x.sync(ctx) {
				interval = syncInterval/2 + time.Duration(x.Random.Int64N(int64(syncInterval)))
			}
		})
	}
}

func (x *Exchange) guarded(task string, run func()) {
	defer panics.Recover(task, nil)
	run()
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

type reportRequest struct {
	From fleet.InstanceID `json:"from"`
	// Relay asks the receiver to pass on to the other instances of its zone what is new to it.
	Relay   bool           `json:"relay,omitempty"`
	Entries []entryMessage `json:"entries"`
}

// report sends entries to one instance of each zone.
func (x *Exchange) report(ctx context.Context, messages []entryMessage) {
	var calls sync.WaitGroup
	for _, zone := range x.zones() {
		calls.Go(func() { x.guarded("report crashes to a zone", func() { x.reportToZone(ctx, zone, messages) }) })
	}
	calls.Wait()
}

func (x *Exchange) zones() (zones []fleet.ZoneID) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	seen := make(map[fleet.ZoneID]bool)
	for _, instance := range x.instances {
		if !seen[instance.Zone] {
			seen[instance.Zone] = true
			zones = append(zones, instance.Zone)
		}
	}
	return zones
}

// reportToZone sends entries to an instance of the zone that passes them on. Instances of a build without quarantine
// refuse the call like those that fail, so that another one is asked.
func (x *Exchange) reportToZone(ctx context.Context, zone fleet.ZoneID, messages []entryMessage) {
	for range maxRelayTries {
		relay, ok := x.relayOf(zone, time.Now())
		if !ok {
			return
		}
		if relay.ID == x.Self.ID {
			x.distribute(ctx, messages, x.Self.ID)
			return
		}
		err := x.call(ctx, relay, ReportMethod, reportRequest{x.Self.ID, true, messages}, nil)
		if err == nil || ctx.Err() != nil {
			return
		}
		klog.InfoS("Instance did not take a report of crashes", "instance", relay.ID, "err", err)
		x.mutex.Lock()
		x.skipUntil[relay.ID] = time.Now().Add(relayRetryInterval)
		x.mutex.Unlock()
	}
}

func (x *Exchange) relayOf(zone fleet.ZoneID, now time.Time) (directory.Instance, bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return directory.SelectInstance(relayRole, zone, x.instances, func(id fleet.InstanceID) bool { return now.Before(x.skipUntil[id]) })
}

// distribute sends entries to the other instances of the own zone, except the one they came from.
func (x *Exchange) distribute(ctx context.Context, messages []entryMessage, from fleet.InstanceID) {
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxParallelCalls)
	for _, instance := range x.others() {
		if instance.Zone != x.Self.Zone || instance.ID == from {
			continue
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			x.guarded("pass on crashes", func() {
				if err := x.call(ctx, instance, ReportMethod, reportRequest{From: x.Self.ID, Entries: messages}, nil); err != nil {
					klog.V(1).InfoS("Report of crashes not passed on", "instance", instance.ID, "err", err)
				}
			})
		})
	}
	calls.Wait()
}

// others returns the other instances that serve their peers.
func (x *Exchange) others() (others []directory.Instance) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, instance := range x.instances {
		if instance.ID != x.Self.ID && instance.PeerAddress != "" {
			others = append(others, instance)
		}
	}
	return others
}

func (x *Exchange) call(ctx context.Context, to directory.Instance, method string, params, into any) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return x.Peers.Call(callCtx, to.PeerAddress, method, params, into)
}

// AnswerReport handles a call of ReportMethod. It implements peerrpc.Handler.
func (x *Exchange) AnswerReport(ctx context.Context, params json.RawMessage) (any, error) {
	var report reportRequest
	if err := json.Unmarshal(params, &report); err != nil {
		return nil, err
	}
	news := x.Ledger.merge(report.Entries[:min(len(report.Entries), maxReported)], x.disproved, time.Now())
	if !report.Relay || len(news) == 0 {
		return struct{}{}, nil
	}
	select {
	case x.relays <- struct{}{}:
		go func() {
			defer func() { <-x.relays }()
			x.guarded("pass on crashes", func() { x.distribute(context.WithoutCancel(ctx), news, report.From) })
		}()
	default: // the comparisons make up for it
	}
	return struct{}{}, nil
}

// disproved reports whether the process of the replica has answered this instance since the crash.
func (x *Exchange) disproved(crash Crash) bool {
	return x.LastAnswer != nil && x.LastAnswer(crash.Replica, crash.StartedAt).After(crash.At.Add(callTimeout))
}

type syncRequest struct {
	From   fleet.InstanceID `json:"from"`
	Digest uint64           `json:"digest,omitempty"`
}

type syncResponse struct {
	Digest  uint64         `json:"digest,omitempty"`
	Entries []entryMessage `json:"entries,omitempty"`
}

// sync compares the ledger with that of another instance, and reports whether it did or there is no other instance.
func (x *Exchange) sync(ctx context.Context) bool {
	others := x.others()
	if len(others) == 0 {
		return false
	}
	peer := others[x.Random.IntN(len(others))]
	var response syncResponse
	if err := x.call(ctx, peer, SyncMethod, syncRequest{x.Self.ID, x.Ledger.digest()}, &response); err != nil {
		klog.V(1).InfoS("Quarantine not compared", "instance", peer.ID, "err", err)
		return false
	}
	x.Ledger.merge(response.Entries, x.disproved, time.Now())
	if response.Digest != x.Ledger.digest() {
		if err := x.call(ctx, peer, ReportMethod, reportRequest{From: x.Self.ID, Entries: x.Ledger.snapshot(maxReported, time.Now())}, nil); err != nil {
			klog.V(1).InfoS("Entries of quarantine not sent", "instance", peer.ID, "err", err)
		}
	}
	return true
}

// AnswerSync handles a call of SyncMethod. It implements peerrpc.Handler.
func (x *Exchange) AnswerSync(_ context.Context, params json.RawMessage) (any, error) {
	var request syncRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	response := syncResponse{Digest: x.Ledger.digest()}
	if response.Digest != request.Digest {
		response.Entries = x.Ledger.snapshot(maxSynced, time.Now())
	}
	return response, nil
}
