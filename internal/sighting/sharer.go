package sighting

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/panics"
)

const (
	// reportInterval and fetchInterval are the minimum times between two calls, so that one call carries many
	// sightings. Most reports are caused by stalls of replicas, which the hub does not pass on.
	reportInterval = 200 * time.Millisecond
	fetchInterval  = 100 * time.Millisecond
	// maxFetchWait is how long the hub holds a call of FetchMethod that has nothing to return.
	maxFetchWait = time.Second
	// callTimeout bounds the time of a call beyond that wait: a few round trips, on a busy processor.
	callTimeout = 400 * time.Millisecond
	// hubRetryInterval is how long a hub that failed is not called.
	hubRetryInterval = 5 * time.Second
	// maxReported bounds the sightings in one report; a frame of the protocol between instances holds about 600.
	maxReported = 400
)

// PeerClient calls a method of another instance.
type PeerClient interface {
	Call(ctx context.Context, address, method string, params, into any) error
}

// Options are the dependencies of a Sharer.
type Options struct {
	Self  directory.Instance
	Peers PeerClient
	// OnSightings is called with the sightings of other instances.
	OnSightings func(sightings []Sighting)
}

// Sharer reports this instance's sightings to the hub of its zone and fetches those of the other instances from it.
// Every instance has a hub, which stays empty unless the other instances choose it. Sharer is safe for concurrent use.
type Sharer struct {
	Options

	mutex sync.Mutex
	hub   Hub
	// hubChanged is closed and replaced when sightings are added to the local hub.
	hubChanged chan struct{}
	// unreported holds this instance's sightings since its last report, up to maxReported.
	unreported []Sighting
	instances  []directory.Instance
	// skipUntil maps a hub that failed to the time until which it is not called.
	skipUntil map[fleet.InstanceID]time.Time
	// position is the position on the current hub up to which sightings have been fetched.
	position uint64
	// wake holds a token while there is something to report.
	wake chan struct{}
}

// New returns a sharer that knows no other instance.
func New(options Options) *Sharer {
	return &Sharer{Options: options, hubChanged: make(chan struct{}), skipUntil: make(map[fleet.InstanceID]time.Time), wake: make(chan struct{}, 1)}
}

// SetInstances sets the known entry instances. The slice must not change.
func (s *Sharer) SetInstances(instances []directory.Instance) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.instances = instances
}

// Enqueue queues a sighting of this instance for the next report. It never blocks; sightings beyond maxReported are
// dropped.
func (s *Sharer) Enqueue(sighting Sighting) {
	s.mutex.Lock()
	if len(s.unreported) < maxReported {
		s.unreported = append(s.unreported, sighting)
	}
	s.mutex.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run reports and fetches sightings until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { runPeriodically(ctx, "report sightings", reportInterval, s.report) })
	running.Go(func() { runPeriodically(ctx, "fetch sightings", fetchInterval, s.fetch) })
	running.Wait()
}

// runPeriodically runs step repeatedly until ctx ends, and waits for interval after each run.
func runPeriodically(ctx context.Context, task string, interval time.Duration, step func(ctx context.Context)) {
	for ctx.Err() == nil {
		func() {
			defer panics.Recover(task, nil)
			step(ctx)
		}()
		sleep(ctx, interval)
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// hubRole is the key by which the instances of a zone choose the one whose hub they use. If instances disagree for a
// time, each sighting reaches only some of the zone, which is harmless.
const hubRole = "sightings"

// currentHub returns the instance whose hub is in use. The second result is false if that is this instance, or if no
// instance is known.
func (s *Sharer) currentHub(now time.Time) (directory.Instance, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found, ok := directory.SelectInstance(hubRole, s.Self.Zone, s.instances, func(id fleet.InstanceID) bool { return now.Before(s.skipUntil[id]) })
	return found, ok && found.ID != s.Self.ID
}

// report waits until there are unreported sightings and sends them to the hubs that need them.
func (s *Sharer) report(ctx context.Context) {
	select {
	case <-s.wake:
	case <-ctx.Done():
		return
	}
	s.mutex.Lock()
	sightings := s.unreported
	s.unreported = nil
	s.mutex.Unlock()
	s.reportToOwnZone(ctx, sightings)
	s.reportToOtherZones(ctx, sightings)
}

func (s *Sharer) reportToOwnZone(ctx context.Context, sightings []Sighting) {
	now := time.Now()
	hub, remote := s.currentHub(now)
	if !remote {
		s.addToHub(s.Self.ID, sightings, now)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.Peers.Call(callCtx, hub.PeerAddress, ReportMethod, reportRequest{s.Self.ID, encode(sightings, now)}, nil); err != nil {
		s.skipHub(ctx, hub.ID, err)
	}
}

// reportToOtherZones sends the sightings of request limits that have ended to the hubs of the other zones. The instances
// that use a limit may all be in one zone, and the others hardly ever send the replica a request.
func (s *Sharer) reportToOtherZones(ctx context.Context, sightings []Sighting) {
	var ended []Sighting
	for _, sighting := range sightings {
		if sighting.LimitEnded {
			ended = append(ended, sighting)
		}
	}
	if len(ended) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, hub := range s.otherHubs() {
		calls.Go(func() {
			defer panics.Recover("report sightings to another zone", nil)
			if err := s.Peers.Call(callCtx, hub.PeerAddress, ReportMethod, reportRequest{s.Self.ID, encode(ended, time.Now())}, nil); err != nil {
				klog.InfoS("Hub of sightings of another zone failed", "instance", hub.ID, "err", err)
			}
		})
	}
	calls.Wait()
}

// otherHubs returns the hub of each other zone.
func (s *Sharer) otherHubs() []directory.Instance {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	hubs := make(map[fleet.ZoneID]directory.Instance)
	for _, instance := range s.instances {
		if _, found := hubs[instance.Zone]; found || instance.Zone == s.Self.Zone {
			continue
		}
		if hub, ok := directory.SelectInstance(hubRole, instance.Zone, s.instances, func(fleet.InstanceID) bool { return false }); ok {
			hubs[instance.Zone] = hub
		}
	}
	return slices.Collect(maps.Values(hubs))
}

// fetch fetches sightings of other instances from the hub and waits for them if necessary.
func (s *Sharer) fetch(ctx context.Context) {
	now := time.Now()
	hub, remote := s.currentHub(now)
	if !remote {
		s.fetchLocal(ctx)
		return
	}
	s.mutex.Lock()
	request := fetchRequest{s.Self.ID, s.position}
	s.mutex.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, maxFetchWait+callTimeout)
	defer cancel()
	var response fetchResponse
	if err := s.Peers.Call(callCtx, hub.PeerAddress, FetchMethod, request, &response); err != nil {
		s.skipHub(ctx, hub.ID, err)
		return
	}
	s.mutex.Lock()
	s.position = response.Position
	s.mutex.Unlock()
	s.deliver(decode(response.Sightings, time.Now()))
}

// fetchLocal is like fetch, for the hub of this instance.
func (s *Sharer) fetchLocal(ctx context.Context) {
	s.mutex.Lock()
	after := s.position
	s.mutex.Unlock()
	sightings, position := s.waitForSightings(ctx, after, s.Self.ID)
	s.mutex.Lock()
	s.position = position
	s.mutex.Unlock()
	s.deliver(sightings)
}

func (s *Sharer) deliver(sightings []Sighting) {
	if len(sightings) > 0 {
		s.OnSightings(sightings)
	}
}

func (s *Sharer) skipHub(ctx context.Context, hub fleet.InstanceID, err error) {
	if ctx.Err() != nil {
		return
	}
	klog.InfoS("Hub of sightings failed; using another one", "instance", hub, "err", err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.skipUntil[hub] = time.Now().Add(hubRetryInterval)
	s.position = 0 // positions differ between hubs
}

func (s *Sharer) addToHub(from fleet.InstanceID, sightings []Sighting, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.hub.Add(from, sightings, now) {
		close(s.hubChanged)
		s.hubChanged = make(chan struct{})
	}
}

// waitForSightings returns the sightings that the local hub holds for an instance, and waits up to maxFetchWait if
// there are none.
func (s *Sharer) waitForSightings(ctx context.Context, after uint64, to fleet.InstanceID) ([]Sighting, uint64) {
	timer := time.NewTimer(maxFetchWait)
	defer timer.Stop()
	for done := false; ; {
		s.mutex.Lock()
		sightings, position := s.hub.Since(after, to, time.Now())
		changed := s.hubChanged
		s.mutex.Unlock()
		if done || len(sightings) > 0 {
			return sightings, position
		}
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-ctx.Done():
			done = true
		}
	}
}

// AnswerReport handles a call of ReportMethod. It implements peerrpc.Handler.
func (s *Sharer) AnswerReport(_ context.Context, params json.RawMessage) (any, error) {
	var report reportRequest
	if err := json.Unmarshal(params, &report); err != nil {
		return nil, err
	}
	now := time.Now()
	s.addToHub(report.From, decode(report.Sightings, now), now)
	return struct{}{}, nil
}

// AnswerFetch handles a call of FetchMethod. It implements peerrpc.Handler.
func (s *Sharer) AnswerFetch(ctx context.Context, params json.RawMessage) (any, error) {
	var request fetchRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	sightings, position := s.waitForSightings(ctx, request.Position, request.From)
	return fetchResponse{position, encode(sightings, time.Now())}, nil
}
