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

// NewsMethod is the method that followers call of each other.
const NewsMethod = "news"

type newsRequest struct {
	After      uint64 `json:"after"`
	WaitMillis int64  `json:"wait-millis"`
}

type newsMessage struct {
	Revision  uint64          `json:"revision"`
	AgeMillis int64           `json:"age-millis"`
	Whole     bool            `json:"whole,omitempty"`
	Changes   []changeMessage `json:"changes,omitempty"`
}

// changeMessage is a directory.Change with durations in place of times, because instances share no clock.
type changeMessage struct {
	Table      *tableMessage       `json:"table,omitempty"`
	Replica    fleet.ServerID      `json:"replica,omitempty"`
	Entry      *directory.Replica  `json:"entry,omitempty"`
	ColdMillis int64               `json:"cold-millis,omitempty"`
	Zone       fleet.ZoneID        `json:"zone,omitempty"`
	Instance   fleet.InstanceID    `json:"instance,omitempty"`
	Registered *directory.Instance `json:"registered,omitempty"`
	Gone       bool                `json:"gone,omitempty"`
	// LapsesMillis is how long a replica that is gone is kept.
	LapsesMillis int64 `json:"lapses-millis,omitempty"`
}

type tableMessage struct {
	Version  uint64            `json:"version"`
	Routes   []*routing.Route  `json:"routes"`
	Services []routing.Service `json:"services"`
	Limits   routing.Limits    `json:"limits"`
}

func encode(news News, now time.Time) newsMessage {
	message := newsMessage{Revision: news.Revision, AgeMillis: news.Age.Milliseconds(), Whole: news.Whole}
	for _, change := range news.Changes {
		encoded := changeMessage{
			Replica: change.Replica, Zone: change.Zone, Instance: change.Instance, Registered: change.Registered, Gone: change.Gone,
		}
		if change.Table != nil {
			encoded.Table = &tableMessage{change.Table.Version(), change.Table.Routes(), change.Table.Services(), change.Table.Limits()}
		}
		if change.Lapses.After(now) {
			encoded.LapsesMillis = change.Lapses.Sub(now).Milliseconds()
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

// decode turns a message into news; former hands the positions of weighted routes on.
func (m *newsMessage) decode(former *routing.Table, now time.Time) (News, error) {
	news := News{Revision: m.Revision, Age: time.Duration(m.AgeMillis) * time.Millisecond, Whole: m.Whole}
	for _, encoded := range m.Changes {
		change := directory.Change{
			Replica: encoded.Replica, Entry: encoded.Entry, Zone: encoded.Zone, Instance: encoded.Instance,
			Registered: encoded.Registered, Gone: encoded.Gone,
		}
		if encoded.LapsesMillis > 0 {
			change.Lapses = now.Add(time.Duration(encoded.LapsesMillis) * time.Millisecond)
		}
		if change.Entry != nil && encoded.ColdMillis > 0 {
			change.Entry.ColdUntil = now.Add(time.Duration(encoded.ColdMillis) * time.Millisecond)
		}
		if table := encoded.Table; table != nil {
			if slices.Contains(table.Routes, nil) {
				return News{}, eris.New("peer: a table with an empty route")
			}
			change.Table = routing.New(table.Version, table.Routes, table.Services, table.Limits, former)
			former = change.Table
		}
		news.Changes = append(news.Changes, change)
	}
	return news, nil
}

// Client asks peers. It implements Peers.
type Client struct {
	// Former returns the table in force, or nil.
	Former func() *routing.Table
	links  *link.Client
}

// NewClient returns a client over the links.
func NewClient(links *link.Client, former func() *routing.Table) *Client {
	return &Client{Former: former, links: links}
}

// News implements Peers.
func (c *Client) News(ctx context.Context, address string, after uint64, wait time.Duration) (News, error) {
	var message newsMessage
	if err := c.links.Call(ctx, address, NewsMethod, newsRequest{after, wait.Milliseconds()}, &message); err != nil {
		return News{}, err
	}
	return message.decode(c.Former(), time.Now())
}

// Answer answers a call of NewsMethod. It implements link.Handler.
func (f *Follower) Answer(ctx context.Context, params json.RawMessage) (any, error) {
	var asked newsRequest
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, err
	}
	wait := time.Duration(min(max(asked.WaitMillis, 0), longestWait.Milliseconds())) * time.Millisecond
	return encode(f.News(ctx, asked.After, wait), time.Now()), nil
}
