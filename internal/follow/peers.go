package follow

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/routing"
)

// newsMethod is the one method that instances call of each other.
const newsMethod = "news"

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
func (m *newsMessage) decode(former *routing.Table, now time.Time) News {
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
			change.Table = routing.New(table.Version, table.Routes, table.Services, table.Limits, former)
			former = change.Table
		}
		news.Changes = append(news.Changes, change)
	}
	return news
}

// Client asks peers over one lasting connection each. It implements Peers.
type Client struct {
	// Former returns the table in force, or nil.
	Former func() *routing.Table
	mutex  sync.Mutex
	conns  map[string]*jsonrpc2.Conn
}

// NewClient returns a client without connections.
func NewClient(former func() *routing.Table) *Client {
	return &Client{Former: former, conns: make(map[string]*jsonrpc2.Conn)}
}

// News implements Peers. A connection that failed a call is closed, because it may have gone silent.
func (c *Client) News(ctx context.Context, address string, after uint64, wait time.Duration) (News, error) {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return News{}, err
	}
	var message newsMessage
	if err := conn.Call(ctx, newsMethod, newsRequest{after, wait.Milliseconds()}, &message); err != nil {
		c.drop(address, conn)
		return News{}, eris.Wrap(err, "peer")
	}
	return message.decode(c.Former(), time.Now()), nil
}

func (c *Client) connect(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mutex.Lock()
	known := c.conns[address]
	c.mutex.Unlock()
	if known != nil {
		return known, nil
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "peer")
	}
	// The connection outlives the call that opened it; nothing is answered on this side.
	conn := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream(raw), jsonrpc2.HandlerWithError(refuseCall))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.conns[address] = conn
	return conn, nil
}

func (c *Client) drop(address string, conn *jsonrpc2.Conn) {
	c.mutex.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mutex.Unlock()
	if err := conn.Close(); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		klog.V(1).InfoS("Peer connection not closed", "err", err)
	}
}

func stream(raw net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{})
}

func refuseCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method"}
}

// Serve answers the peers that connect to the listener until it is closed.
func (f *Follower) Serve(ctx context.Context, listener net.Listener) error {
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(f.answer).SuppressErrClosed())
	for {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accept")
		}
		jsonrpc2.NewConn(ctx, stream(raw), handler)
	}
}

func (f *Follower) answer(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	if request.Method != newsMethod || request.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method"}
	}
	var asked newsRequest
	if err := json.Unmarshal(*request.Params, &asked); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	wait := time.Duration(asked.WaitMillis) * time.Millisecond
	return encode(f.News(ctx, asked.After, wait), time.Now()), nil
}
