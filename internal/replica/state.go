package replica

import (
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

//go:generate go tool stringer -type=State -linecomment -output=state_string.go

// State is the condition of a backend server as its owner sees it.
type State int

const (
	// Cold servers are new, have restarted, have failed, or could not be sent to for a while. They get one call at a
	// time.
	Cold State = iota // cold
	// Warming servers have answered at least once since they were cold.
	Warming // warming
	// Warm servers have answered with all their slots admitted.
	Warm // warm
	// Leaving servers are about to shut down and get no new parts.
	Leaving // leaving
	// Silent servers have repeatedly not answered in time.
	Silent // silent
	// Shedding servers have refused load within the last second.
	Shedding // shedding
	// Lost servers refuse connections.
	Lost // lost
)

// Status describes one server for the status report and metrics.
type Status struct {
	Server fleet.ServerID
	State  State
	// Reason is why the server is in this state.
	Reason verdict.Reason
	Since  time.Time
	// InUse is the number of calls that the transport has not returned yet.
	InUse int
	// Queued is the number of parts that wait for a slot.
	Queued int
	// Ramp is the number of concurrent calls that the warm-up ramp admits.
	Ramp int
	// Slots is the number of the server's slots that this instance may use; zero if it may not send to the server.
	Slots int
	// HedgeRatio is the ratio of hedges to requests in the last minute.
	HedgeRatio float64
}

// HandoverState is the state of one server as its owner passes it to the next owner. Durations are relative to the
// handover because instances do not share a clock.
type HandoverState struct {
	Server    fleet.ServerID `json:"server"`
	State     State          `json:"state"`
	Ramp      int            `json:"ramp"`
	StartMark string         `json:"start-mark"`
	// ServiceTime is the smoothed duration of a call, and Samples is the number of calls that it is based on.
	ServiceTime time.Duration `json:"service-time"`
	Samples     int           `json:"samples"`
	// InUse is the number of calls that still run at the previous owner, and Until is the time until the last of their
	// deadlines has passed. The next owner leaves that many slots unused until then.
	InUse int           `json:"in-use"`
	Until time.Duration `json:"until"`
}
