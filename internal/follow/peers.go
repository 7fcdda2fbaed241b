package follow

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/link"
	"github.com/medlarlatch/medlarlatch/internal/routing"
)

// UpdateMethod is the method by which instances request updates from each other.
const UpdateMethod = "news"

type updateRequest struct {
	After      uint64 `json:"after"`
	WaitMillis int64  `json:"wait-millis"`
}

type updateMessage struct {
	Revision  uint64          `json:"revision"`
	AgeMillis int64           `json:"age-millis"`
	Full      bool            `json:"whole,omitempty"`
	Changes   []changeMessage `json:"changes,omitempty"`
}

// changeMessage is a directory.Change with durations in place of times, because the clocks of instances are not
// synchronised.
type changeMessage struct {
	Table      *tableMessage       `json:"table,omitempty"`
	Replica    fleet.ServerID      `json:"replica,omitempty"`
	Entry      *directory.Replica  `json:"entry,omitempty"`
	ColdMillis int64               `json:"cold-millis,omitempty"`
	Zone       fleet.ZoneID        `json:"zone,omitempty"`
	Instance   fleet.InstanceID    `json:"instance,omitempty"`
	Registered *directory.Instance `json:"registered,omitempty"`
	Gone       bool                `json:"gone,omitempty"`
	// RemoveInMillis is the time until a replica that is gone is removed.
	RemoveInMillis int64 `json:"lapses-millis,omitempty"`
}

type tableMessage struct {
	Version  uint64            `json:"version"`
	Routes   []*routing.Route  `json:"routes"`
	Services []routing.Service `json:"services"`
	Limits   routing.Limits    `json:"limits"`
}

// encode converts an update into a message; times become durations from now.
func encode(update Update, now time.Time) updateMessage {
	message := updateMessage{Revision: update.Revision, AgeMillis: update.Age.Milliseconds(), Full: update.Full}
	for _, change := range update.Changes {
		encoded := changeMessage{
			Replica: change.Replica, Zone: change.Zone, Instance: change.Instance, Registered: change.Registered, Gone: change.Deleted,
		}
		if change.Table != nil {
			encoded.Table = &tableMessage{change.Table.Version(), change.Table.Routes(), change.Table.Services(), change.Table.Limits()}
		}
		if change.RemoveAt.After(now) {
			encoded.RemoveInMillis = change.RemoveAt.Sub(now).Milliseconds()
		}
		if change.Entry != nil {
			entry := *change.Entry
			encoded.ColdMillis = max(0, entry.ColdUntil.Sub(now).Milliseconds())
			entry.ColdUntil = time.Time{}
			encoded.Entry = &entry
		}
		message.Changes = append(message.Changes, encoded)
	}
	return message
}

// decode converts a message into an update. Routes continue the weighted distribution of the former table, which may be
// nil.
func (m *updateMessage) decode(former *routing.Table, now time.Time) (Update, error) {
	update := Update{Revision: m.Revision, Age: time.Duration(m.AgeMillis) * time.Millisecond, Full: m.Full}
	for _, encoded := range m.Changes {
		change := directory.Change{
			Replica: encoded.Replica, Entry: encoded.Entry, Zone: encoded.Zone, Instance: encoded.Instance,
			Registered: encoded.Registered, Deleted: encoded.Gone,
		}
		if encoded.RemoveInMillis > 0 {
			change.RemoveAt = now.Add(time.Duration(encoded.RemoveInMillis) * time.Millisecond)
		}
		if change.Entry != nil && encoded.ColdMillis > 0 {
			change.Entry.ColdUntil = now.Add(time.Duration(encoded.ColdMillis) * time.Millisecond)
		}
		if table := encoded.Table; table != nil {
			if slices.Contains(table.Routes, nil) {
				return Update{}, eris.New("peer sent a routing table with a null route")
			}
			change.Table = routing.New(table.Version, table.Routes, table.Services, table.Limits, former)
			former = change.Table
		}
		update.Changes = append(update.Changes, change)
	}
	return update, nil
}

// Client calls peers over links. It implements Peers.
type Client struct {
	// CurrentTable returns the table in force, or nil.
	CurrentTable func() *routing.Table
	links        *link.Client
}

// NewClient returns a client that uses the links.
func NewClient(links *link.Client, former func() *routing.Table) *Client {
	return &Client{CurrentTable: former, links: links}
}

// FetchUpdate implements Peers.
func (c *Client) FetchUpdate(ctx context.Context, address string, after uint64, wait time.Duration) (Update, error) {
	var message updateMessage
	if err := c.links.Call(ctx, address, UpdateMethod, updateRequest{after, wait.Milliseconds()}, &message); err != nil {
		return Update{}, err
	}
	return message.decode(c.CurrentTable(), time.Now())
}

// AnswerUpdate handles a call of UpdateMethod. It is a link.Handler.
func (f *Follower) AnswerUpdate(ctx context.Context, params json.RawMessage) (any, error) {
	var asked updateRequest
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, err
	}
	wait := time.Duration(min(max(asked.WaitMillis, 0), maxWait.Milliseconds())) * time.Millisecond
	return encode(f.UpdateSince(ctx, asked.After, wait), time.Now()), nil
}
