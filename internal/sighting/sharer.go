package sighting

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/panics"
)

const (
	// reportInterval and newsInterval are the least times between two calls, so that many sightings share one. Pauses of
	// replicas, which are not passed on, make most of the reports.
	reportInterval = 200 * time.Millisecond
	newsInterval   = 100 * time.Millisecond
	// longestWait is how long the board lets a call for news wait.
	longestWait = time.Second
	// replyTimeout bounds the time of an answer beyond the wait: a few round trips, and a busy processor.
	replyTimeout = 400 * time.Millisecond
	// failedPause is how long a board that failed is not called.
	failedPause = 5 * time.Second
	// mostReported bounds one report; a frame of calls holds about 600.
	mostReported = 400
)

// Caller calls a method of another instance.
type Caller interface {
	Call(ctx context.Context, address, method string, params, into any) error
}

// Options are what a Sharer is made of.
type Options struct {
	Self  directory.Instance
	Peers Caller
	// Tell takes the sightings of other instances.
	Tell func(sightings []Sighting)
}

// Sharer reports this instance's sightings to the board of its zone and takes those of the others. Every instance has a
// board, which stays empty unless others take it for the zone's. It is safe for concurrent use.
type Sharer struct {
	Options

	mutex sync.Mutex
	board Board
	// posted is closed and replaced when sightings are posted.
	posted chan struct{}
	// unreported are this instance's sightings since its last report; their number is bounded.
	unreported []Sighting
	instances  []directory.Instance
	// failed maps boards to the time until which they are not called.
	failed map[fleet.InstanceID]time.Time
	// told is the position on the own board up to which Tell has been called.
	told uint64
	// wake has a token once there is something to report.
	wake chan struct{}
}

// New returns a sharer that knows no other instance.
func New(options Options) *Sharer {
	return &Sharer{Options: options, posted: make(chan struct{}), failed: make(map[fleet.InstanceID]time.Time), wake: make(chan struct{}, 1)}
}

// SetInstances says which entry instances there are. The slice must not change.
func (s *Sharer) SetInstances(instances []directory.Instance) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.instances = instances
}

// Seen takes a sighting of this instance. It never blocks; beyond a bound it drops sightings.
func (s *Sharer) Seen(sighting Sighting) {
	s.mutex.Lock()
	if len(s.unreported) < mostReported {
		s.unreported = append(s.unreported, sighting)
	}
	s.mutex.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run shares until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { repeat(ctx, "report sightings", reportInterval, s.report) })
	running.Go(func() { repeat(ctx, "take sightings", newsInterval, s.take) })
	running.Wait()
}

// repeat runs the step again and again, with a pause between.
func repeat(ctx context.Context, task string, interval time.Duration, step func(ctx context.Context)) {
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

// boardDuty names the instance of a zone whose board the others use. Two that are taken for it at once do no harm; each sighting
// then reaches a part of the zone.
const boardDuty = "sightings"

// current returns the board in use; false if it is the own one, or there is no other instance.
func (s *Sharer) current(now time.Time) (directory.Instance, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found, ok := directory.First(boardDuty, s.Self.Zone, s.instances, func(id fleet.InstanceID) bool { return now.Before(s.failed[id]) })
	return found, ok && found.ID != s.Self.ID
}

// report hands what this instance has seen to the board, once there is something.
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
	now := time.Now()
	board, other := s.current(now)
	if !other {
		s.post(s.Self.ID, sightings, now)
		return
	}
	bounded, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	if err := s.Peers.Call(bounded, board.Peers, ReportMethod, reportRequest{s.Self.ID, encode(sightings, now)}, nil); err != nil {
		s.passOver(ctx, board.ID, err)
	}
}

// take waits for sightings of others.
func (s *Sharer) take(ctx context.Context) {
	now := time.Now()
	board, other := s.current(now)
	if !other {
		s.takeOwn(ctx)
		return
	}
	s.mutex.Lock()
	asked := newsRequest{s.Self.ID, s.told}
	s.mutex.Unlock()
	bounded, cancel := context.WithTimeout(ctx, longestWait+replyTimeout)
	defer cancel()
	var answer newsAnswer
	if err := s.Peers.Call(bounded, board.Peers, NewsMethod, asked, &answer); err != nil {
		s.passOver(ctx, board.ID, err)
		return
	}
	s.mutex.Lock()
	s.told = answer.Position
	s.mutex.Unlock()
	s.tell(decode(answer.Sightings, time.Now()))
}

// takeOwn waits for sightings of others on the own board.
func (s *Sharer) takeOwn(ctx context.Context) {
	s.mutex.Lock()
	after := s.told
	s.mutex.Unlock()
	sightings, position := s.news(ctx, after, s.Self.ID)
	s.mutex.Lock()
	s.told = position
	s.mutex.Unlock()
	s.tell(sightings)
}

func (s *Sharer) tell(sightings []Sighting) {
	if len(sightings) > 0 {
		s.Tell(sightings)
	}
}

func (s *Sharer) passOver(ctx context.Context, board fleet.InstanceID, err error) {
	if ctx.Err() != nil {
		return
	}
	klog.InfoS("Board of sightings passed over", "instance", board, "err", err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failed[board] = time.Now().Add(failedPause)
	s.told = 0 // positions differ between boards
}

func (s *Sharer) post(from fleet.InstanceID, sightings []Sighting, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.board.Post(from, sightings, now) {
		close(s.posted)
		s.posted = make(chan struct{})
	}
}

// news returns what the own board has for an instance, waiting up to longestWait for something.
func (s *Sharer) news(ctx context.Context, after uint64, to fleet.InstanceID) ([]Sighting, uint64) {
	timer := time.NewTimer(longestWait)
	defer timer.Stop()
	for over := false; ; {
		s.mutex.Lock()
		sightings, position := s.board.Since(after, to, time.Now())
		posted := s.posted
		s.mutex.Unlock()
		if over || len(sightings) > 0 {
			return sightings, position
		}
		select {
		case <-posted:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			over = true
		}
	}
}

// Report answers a call of ReportMethod. It implements link.Handler.
func (s *Sharer) Report(_ context.Context, params json.RawMessage) (any, error) {
	var report reportRequest
	if err := json.Unmarshal(params, &report); err != nil {
		return nil, err
	}
	now := time.Now()
	s.post(report.From, decode(report.Sightings, now), now)
	return struct{}{}, nil
}

// News answers a call of NewsMethod. It implements link.Handler.
func (s *Sharer) News(ctx context.Context, params json.RawMessage) (any, error) {
	var asked newsRequest
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, err
	}
	sightings, position := s.news(ctx, asked.Position, asked.From)
	return newsAnswer{position, encode(sightings, time.Now())}, nil
}
