package sighting

import (
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// The methods that instances call on the hub of their zone.
const (
	ReportMethod = "sightings-report"
	FetchMethod  = "sightings-news"
)

// sightingMessage is a Sighting on the wire. It carries an age instead of a time, because the clocks of instances may
// differ.
type sightingMessage struct {
	Zone       fleet.ZoneID     `json:"zone,omitempty"`
	Replica    fleet.ServerID   `json:"replica,omitempty"`
	StartedAt  int64            `json:"born,omitempty"`
	Slowness   float64          `json:"slowness,omitempty"`
	LimitEnded bool             `json:"limit-ended,omitempty"`
	AgeMillis  int64            `json:"age-millis"`
	From       fleet.InstanceID `json:"from,omitempty"`
}

type reportRequest struct {
	From      fleet.InstanceID  `json:"from"`
	Sightings []sightingMessage `json:"sightings"`
}

type fetchRequest struct {
	From     fleet.InstanceID `json:"from"`
	Position uint64           `json:"position"`
}

type fetchResponse struct {
	Position  uint64            `json:"position"`
	Sightings []sightingMessage `json:"sightings,omitempty"`
}

func encode(sightings []Sighting, now time.Time) []sightingMessage {
	messages := make([]sightingMessage, len(sightings))
	for i, s := range sightings {
		messages[i] = sightingMessage{s.Zone, s.Replica, s.StartedAt, s.Slowness, s.LimitEnded, max(0, now.Sub(s.ObservedAt).Milliseconds()), s.From}
	}
	return messages
}

// decode discards sightings with an invalid age or slowness and those that have expired.
func decode(messages []sightingMessage, now time.Time) []Sighting {
	var sightings []Sighting
	for _, m := range messages {
		if m.AgeMillis < 0 || m.AgeMillis >= sightingTTL.Milliseconds() || m.Slowness < 0 {
			continue
		}
		sightings = append(sightings, Sighting{m.Zone, m.Replica, m.StartedAt, m.Slowness, m.LimitEnded, now.Add(-time.Duration(m.AgeMillis) * time.Millisecond), m.From})
	}
	return sightings
}
