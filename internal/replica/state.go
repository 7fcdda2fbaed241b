package replica

import (
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

//go:generate go tool stringer -type=State -linecomment -output=state_string.go

// State is the state of a backend server as its owner sees it.
type State int

const (
	// Cold servers are new, have returned or showed distress; they get one request at a time.
	Cold State = iota // cold
	// Warming servers have answered at least once since they were cold.
	Warming // warming
	// Warm servers have answered with all their slots admitted.
	Warm // warm
	// Leaving servers get no new part.
	Leaving // leaving
	// Silent servers have repeatedly not answered in time.
	Silent // silent
	// Shedding servers have refused load within the last second.
	Shedding // shedding
	// Lost servers refuse connections.
	Lost // lost
)

// Status is one server for the status report and metrics.
type Status struct {
	Server fleet.ServerID
	State  State
	// Reason is why the server is in this state.
	Reason verdict.Reason
	Since  time.Time
	// InUse counts the calls that the transport has not returned.
	InUse int
	// Queued counts the parts waiting for a slot.
	Queued int
	// Ramp is the number of slots that the warm-up admits.
	Ramp int
	// Slots is the share of the server's slots that this instance may use; zero if it may not send.
	Slots int
	// HedgeShare is hedges over requests in the last minute.
	HedgeShare float64
}

// Handed is the state of one server as one owner passes it to the next. Durations are relative because
// instances do not share a clock.
type Handed struct {
	Server    fleet.ServerID `json:"server"`
	State     State          `json:"state"`
	Ramp      int            `json:"ramp"`
	StartMark string         `json:"start-mark"`
	// ServiceTime is the smoothed time of a call; Samples is how many calls it rests on.
	ServiceTime time.Duration `json:"service-time"`
	Samples     int           `json:"samples"`
	// InUse counts the calls still running at the former owner, and Until is when the last one's
	// deadline passes. The next owner leaves that many slots unused meanwhile.
	InUse int           `json:"in-use"`
	Until time.Duration `json:"until"`
}
