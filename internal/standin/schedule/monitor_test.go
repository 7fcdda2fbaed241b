package schedule

// The monitor reads every 200 ms what the entry instances say and what has reached the backend servers.

import (
	"context"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/standin"
	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
)

const (
	monitorPeriod = 200 * time.Millisecond
	// monitorPatience bounds the wait for an instance that is stopped.
	monitorPatience = 400 * time.Millisecond
)

// state is what an entry instance said of itself.
type state struct {
	at          time.Time
	incarnation string
	ready       bool
	revision    uint64
	since       time.Time
}

// reach is what had reached the servers at a time.
type reach struct {
	at     time.Time
	report standin.Report
}

type monitor struct {
	cluster *cluster.Cluster
	zones   map[string]string

	mutex   sync.Mutex
	states  map[int][]state
	reaches []reach
}

func newMonitor(c *cluster.Cluster) *monitor {
	m := &monitor{cluster: c, zones: make(map[string]string), states: make(map[int][]state)}
	if status, err := c.Status(context.Background(), 0); err == nil {
		for _, line := range status.Servers {
			m.zones[line.Server] = line.Zone
		}
	}
	return m
}

// begin forgets the counts of the servers, which were set to zero; states are kept for the whole run.
func (m *monitor) begin() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.reaches = nil
}

func (m *monitor) run(ctx context.Context) {
	var group sync.WaitGroup
	for n := range m.cluster.Entries {
		group.Go(func() { m.every(ctx, func(bounded context.Context) { m.readState(bounded, n) }) })
	}
	group.Go(func() { m.every(ctx, m.readReach) })
	group.Wait()
}

func (m *monitor) every(ctx context.Context, read func(context.Context)) {
	ticker := time.NewTicker(monitorPeriod)
	defer ticker.Stop()
	for {
		bounded, cancel := context.WithTimeout(ctx, monitorPatience)
		read(bounded)
		cancel()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *monitor) readState(ctx context.Context, n int) {
	status, err := m.cluster.Status(ctx, n)
	if err != nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.states[n] = append(m.states[n], state{
		time.Now(), status.Incarnation, status.Ready, status.Configuration.Revision, status.Configuration.Since,
	})
}

func (m *monitor) readReach(ctx context.Context) {
	report, err := m.cluster.Observed(ctx)
	if err != nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.reaches = append(m.reaches, reach{time.Now(), report})
}
