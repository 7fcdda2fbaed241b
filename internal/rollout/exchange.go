package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/panics"
)

// ReportMethod is the method by which instances report to the coordinator of an order, and by which the coordinator tells
// those that do not report of the order.
const ReportMethod = "roll-out-report"

const (
	// reportInterval is the time between two reports while an order is carried out.
	reportInterval = 250 * time.Millisecond
	// callTimeout limits a call: a few round trips, on a busy processor.
	callTimeout = 400 * time.Millisecond
	// skipTime is how long an instance that failed is not taken for the coordinator.
	skipTime = 3 * time.Second
	// maxTries is the number of instances that are asked to coordinate in one interval.
	maxTries = 3
	// maxParallelCalls bounds the calls that are made at the same time.
	maxParallelCalls = 16
	// writeTimeout limits a call to the store, whose answers take up to several hundred ms when it is slow. After a
	// failure the next one follows after minWritePause, which doubles up to maxWritePause.
	writeTimeout  = 1200 * time.Millisecond
	minWritePause = 100 * time.Millisecond
	maxWritePause = time.Second
	// maxOrders and minReports bound what peers can make an instance hold: orders, and reports beyond twice the number of
	// registered instances.
	maxOrders  = 1024
	minReports = 16
)

var errTooMany = errors.New("too many roll-outs")

// report is what an instance tells the coordinator of an order. Counts are totals since the instance knows of the order.
type report struct {
	From  fleet.InstanceID  `json:"from"`
	Order directory.RollOut `json:"order"`
	// AgeMillis is the time since the order.
	AgeMillis int64  `json:"age-millis"`
	Stage     Stage  `json:"stage"`
	Reason    string `json:"reason,omitempty"`
	// Moved is set if the instance has nothing to do with the former replicas any more.
	Moved    bool     `json:"moved,omitempty"`
	Requests int      `json:"requests,omitempty"`
	Sent     int      `json:"sent,omitempty"`
	Evidence Evidence `json:"evidence,omitempty"`
	// Announcement is set if the coordinator tells an instance of the order.
	Announcement bool `json:"announcement,omitempty"`
}

// answer is the coordinator's answer to a report.
type answer struct {
	Order     directory.RollOut `json:"order"`
	AgeMillis int64             `json:"age-millis"`
	Stage     Stage             `json:"stage"`
	Reason    string            `json:"reason,omitempty"`
	// Alone is set if the coordinator does not hear from most instances.
	Alone bool `json:"alone,omitempty"`
}

// Run carries out the orders until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() {
		for {
			select {
			case <-m.changed:
				m.guarded("apply a roll-out", m.OnChange)
			case <-ctx.Done():
				return
			}
		}
	})
	running.Go(func() {
		for ctx.Err() == nil {
			m.guarded("carry out roll-outs", func() { m.step(ctx) })
			m.wait(ctx)
		}
	})
	running.Wait()
}

func (m *Manager) guarded(task string, run func()) {
	defer panics.Recover(task, nil)
	run()
}

// wait waits for the next interval if an order is carried out, for the end of a hold if there is one, or else for an
// order.
func (m *Manager) wait(ctx context.Context) {
	m.mutex.Lock()
	unsettled := false
	for _, p := range m.orders {
		unsettled = unsettled || !p.settled()
	}
	holdsEnd := m.holdsEnd
	m.mutex.Unlock()
	var wake <-chan struct{}
	var timeout <-chan time.Time
	switch {
	case unsettled:
		timeout = time.After(reportInterval*3/4 + time.Duration(m.Random.Int64N(int64(reportInterval/2))))
	case !holdsEnd.IsZero():
		wake, timeout = m.wake, time.After(time.Until(holdsEnd))
	default:
		wake = m.wake
	}
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timeout:
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.holdsEnd.IsZero() && !time.Now().Before(m.holdsEnd) {
		m.holdsEnd = time.Time{}
		signal(m.changed)
	}
}

// step carries out one interval of all orders.
func (m *Manager) step(ctx context.Context) {
	m.mutex.Lock()
	var current []*progress
	for _, p := range m.orders {
		if !p.settled() {
			current = append(current, p)
		}
	}
	m.mutex.Unlock()
	var running sync.WaitGroup
	for _, p := range current {
		running.Go(func() { m.guarded("carry out a roll-out", func() { m.stepOrder(ctx, p) }) })
	}
	running.Wait()
}

// stepOrder reports to the coordinator of the order, or coordinates it if no instance before this one in rendezvous order
// answers.
func (m *Manager) stepOrder(ctx context.Context, p *progress) {
	m.mutex.Lock()
	if p.judgeAlone(time.Now()) {
		m.logStage(p, "own answers")
	}
	m.mutex.Unlock()
	for range maxTries {
		coordinator := m.coordinatorOf(p, time.Now())
		if coordinator.ID == m.Self.ID {
			break
		}
		if m.reportTo(ctx, p, coordinator) {
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
	m.coordinate(ctx, p)
}

// coordinatorOf returns the first instance in rendezvous order for the service that has not failed lately; this one if
// there is no other.
func (m *Manager) coordinatorOf(p *progress, now time.Time) directory.Instance {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	byID := map[fleet.InstanceID]directory.Instance{m.Self.ID: m.Self}
	ids := []fleet.InstanceID{m.Self.ID}
	for _, instance := range m.instances {
		if instance.ID != m.Self.ID && instance.PeerAddress != "" && !now.Before(m.skipUntil[instance.ID]) {
			byID[instance.ID] = instance
			ids = append(ids, instance.ID)
		}
	}
	fleet.SortByWeight("roll-out/"+string(p.order.Service), ids)
	return byID[ids[0]]
}

// reportTo reports to the coordinator and follows its answer. It reports whether there was one.
func (m *Manager) reportTo(ctx context.Context, p *progress, coordinator directory.Instance) bool {
	m.mutex.Lock()
	message := p.report(m.Self.ID, time.Now())
	m.mutex.Unlock()
	var reply answer
	err := m.call(ctx, coordinator, message, &reply)
	now := time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err != nil {
		klog.InfoS("Coordinator of a roll-out did not answer", "service", p.order.Service, "instance", coordinator.ID, "err", err)
		m.skipUntil[coordinator.ID] = now.Add(skipTime)
		return false
	}
	if reply.Order.Version != p.order.Version {
		return true // the newer order comes with the next view
	}
	if !reply.Alone {
		p.lastContact = now
	}
	p.setAge(reply.AgeMillis, now)
	if p.adopt(reply.Stage, reply.Reason, true) {
		m.logStage(p, string(coordinator.ID))
	}
	return true
}

// setAge moves the beginning of the order back if another instance has known it for longer.
func (p *progress) setAge(ageMillis int64, now time.Time) {
	age := time.Duration(max(0, min(ageMillis, (2*p.order.Within).Milliseconds()))) * time.Millisecond
	if began := now.Add(-age); began.Before(p.began) {
		p.began = began
	}
}

func (m *Manager) call(ctx context.Context, to directory.Instance, message report, reply *answer) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return m.Peers.Call(callCtx, to.PeerAddress, ReportMethod, message, reply)
}

// coordinate decides on the order with the reports of the other instances, tells those that do not report of it, and
// writes the status.
func (m *Manager) coordinate(ctx context.Context, p *progress) {
	now := time.Now()
	m.mutex.Lock()
	var others []fleet.InstanceID
	var silent []directory.Instance
	for _, instance := range m.instances {
		if instance.ID == m.Self.ID {
			continue
		}
		isFresh := now.Sub(p.reports[instance.ID].at) <= 2*reportInterval
		if gone, known := p.gone[instance.ID]; isFresh || !known || now.Sub(gone) > skipTime {
			others = append(others, instance.ID)
		}
		if !isFresh && instance.PeerAddress != "" {
			silent = append(silent, instance)
		}
	}
	if p.coordinate(others, now) {
		m.logStage(p, "coordinator")
	}
	announcement := p.report(m.Self.ID, now)
	announcement.Announcement = true
	state, missing := p.desired()
	write := missing && !p.writing && !now.Before(p.writeAfter)
	p.writing = p.writing || write
	m.mutex.Unlock()
	if write {
		go m.guarded("write the status of a roll-out", func() { m.write(ctx, p, state) })
	}
	m.announce(ctx, p, silent, announcement)
}

// announce tells instances of the order that do not report on it: they may not know of it, or take another instance for
// the coordinator.
func (m *Manager) announce(ctx context.Context, p *progress, silent []directory.Instance, message report) {
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxParallelCalls)
	for _, instance := range silent {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			m.guarded("announce a roll-out", func() {
				var reply answer
				err := m.call(ctx, instance, message, &reply)
				m.mutex.Lock()
				defer m.mutex.Unlock()
				switch {
				case errors.Is(err, syscall.ECONNREFUSED):
					p.gone[instance.ID] = time.Now() // no process runs there
				case err == nil && reply.Order.Version == p.order.Version && p.adopt(reply.Stage, reply.Reason, false):
					m.logStage(p, string(instance.ID))
				}
			})
		})
	}
	calls.Wait()
}

// write writes the status of an order. The outcome of a call without an answer shows at the next one, which then fails
// its condition and reads what the store has.
func (m *Manager) write(ctx context.Context, p *progress, state directory.RollOutState) {
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	m.mutex.Lock()
	order, former := p.order, p.status.Revision
	m.mutex.Unlock()
	status, err := m.Store.WriteStatus(writeCtx, order, state, former)
	if errors.Is(err, ErrStatusChanged) {
		status, err = m.Store.ReadStatus(writeCtx, order.Service)
		klog.InfoS("Status of a roll-out had changed", "service", order.Service, "wanted", state, "version", status.Version, "state", status.State, "revision", status.Revision, "err", err)
	} else if err == nil {
		m.counters.Written.Add(1)
		klog.InfoS("Status of a roll-out written", "service", order.Service, "version", order.Version, "state", state, "revision", status.Revision)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	p.writing = false
	if err != nil {
		klog.InfoS("Status of a roll-out not written", "service", order.Service, "state", state, "failures", p.failures, "err", err)
	}
	if err != nil || status.Revision == former {
		p.writeAfter = time.Now().Add(min(minWritePause<<min(p.failures, 5), maxWritePause))
		p.failures++
		return
	}
	p.failures = 0
	if p.adoptStatus(status) {
		m.logStage(p, "store")
	}
}

// AnswerReport handles a call of ReportMethod. It is a peerrpc.Handler.
func (m *Manager) AnswerReport(_ context.Context, params json.RawMessage) (any, error) {
	var message report
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, err
	}
	if err := message.Order.Check(); err != nil {
		return nil, err
	}
	now := time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	p := m.orders[message.Order.Service]
	if p == nil && len(m.orders) >= maxOrders {
		return nil, errTooMany
	}
	if p == nil || p.order.Version != message.Order.Version && p.order.Revision < message.Order.Revision {
		p = m.adoptOrder(message.Order, now.Add(-m.OrderDelay), now)
		signal(m.changed)
		signal(m.wake)
	}
	if p.order.Version == message.Order.Version {
		p.setAge(message.AgeMillis, now)
		if _, known := p.reports[message.From]; !message.Announcement && (known || len(p.reports) < 2*len(m.instances)+minReports) {
			p.reports[message.From] = receivedReport{message, now}
			delete(p.gone, message.From)
		}
		if p.adopt(message.Stage, message.Reason, false) {
			m.logStage(p, string(message.From))
		}
	}
	return answer{Order: p.order, AgeMillis: p.elapsed(now).Milliseconds(), Stage: p.stage, Reason: p.reason, Alone: now.Sub(p.lastContact) > contactTimeout}, nil
}
