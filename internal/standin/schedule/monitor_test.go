package schedule

// The monitor reads the status of the entry instances and the reports of the backend servers every 200 ms.

import (
	"context"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/standin"
	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
)

const (
	monitorInterval = 200 * time.Millisecond
	// monitorTimeout bounds one reading, which an instance that is paused does not answer.
	monitorTimeout = 400 * time.Millisecond
)

// entryState is the status of an entry instance at a time. The field since is when the revision came into force.
type entryState struct {
	at          time.Time
	incarnation string
	ready       bool
	revision    uint64
	since       time.Time
}

// serverReport is the report of the backend servers at a time.
type serverReport struct {
	at     time.Time
	report standin.Report
}

// monitor records the states of the entry instances and the reports of the backend servers.
type monitor struct {
	cluster      *cluster.Cluster
	zoneByServer map[string]string

	mutex         sync.Mutex
	entryStates   map[int][]entryState
	serverReports []serverReport
}

func newMonitor(c *cluster.Cluster) *monitor {
	m := &monitor{cluster: c, zoneByServer: make(map[string]string), entryStates: make(map[int][]entryState)}
	if status, err := c.Status(context.Background(), 0); err == nil {
		for _, server := range status.Servers {
			m.zoneByServer[server.Server] = server.Zone
		}
	}
	return m
}

// resetServerReports discards the reports of the servers, whose counts were set to zero. The states of the entry
// instances are kept for the whole run.
func (m *monitor) resetServerReports() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.serverReports = nil
}

func (m *monitor) run(ctx context.Context) {
	var group sync.WaitGroup
	for n := range m.cluster.Entries {
		group.Go(func() { m.poll(ctx, func(timeoutCtx context.Context) { m.readEntryState(timeoutCtx, n) }) })
	}
	group.Go(func() { m.poll(ctx, m.readServerReport) })
	group.Wait()
}

// poll calls read every monitorInterval until the context ends.
func (m *monitor) poll(ctx context.Context, read func(context.Context)) {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	for {
		timeoutCtx, cancel := context.WithTimeout(ctx, monitorTimeout)
		read(timeoutCtx)
		cancel()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *monitor) readEntryState(ctx context.Context, n int) {
	status, err := m.cluster.Status(ctx, n)
	if err != nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.entryStates[n] = append(m.entryStates[n], entryState{
		time.Now(), status.Incarnation, status.Ready, status.Configuration.Revision, status.Configuration.Since,
	})
}

func (m *monitor) readServerReport(ctx context.Context) {
	report, err := m.cluster.Observed(ctx)
	if err != nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.serverReports = append(m.serverReports, serverReport{time.Now(), report})
}
