package follow

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/customer"
	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/peerrpc"
	"github.com/medlarlatch/medlarlatch/internal/routing"
)

// UpdateMethod is the method by which instances request updates from each other.
const UpdateMethod = "news"

type updateRequest struct {
	After      uint64 `json:"after"`
	Era        uint64 `json:"era,omitempty"`
	WaitMillis int64  `json:"wait-millis"`
}

type updateMessage struct {
	Revision  uint64 `json:"revision"`
	Era       uint64 `json:"era,omitempty"`
	AgeMillis int64  `json:"age-millis"`
	// KnownMillis is Update.KnownSinceRequest, rounded down; absent if it is not known, and from an instance of an earlier
	// build.
	KnownMillis *int64 `json:"known-millis,omitempty"`
	Full        bool   `json:"whole,omitempty"`
	// Unusable is Update.Unusable.
	Unusable bool            `json:"configuration-unusable,omitempty"`
	Changes  []changeMessage `json:"changes,omitempty"`
}

// changeMessage is a directory.Change with durations in place of times, because the clocks of instances are not
// synchronised.
type changeMessage struct {
	Table              *tableMessage         `json:"table,omitempty"`
	Assignment         *directory.Assignment `json:"assignment,omitempty"`
	ReplicaID          fleet.ServerID        `json:"replica,omitempty"`
	RegisteredReplica  *directory.Replica    `json:"entry,omitempty"`
	ColdMillis         int64                 `json:"cold-millis,omitempty"`
	Zone               fleet.ZoneID          `json:"zone,omitempty"`
	InstanceID         fleet.InstanceID      `json:"instance,omitempty"`
	RegisteredInstance *directory.Instance   `json:"registered,omitempty"`
	// Instances of builds without roll-outs ignore the next four fields.
	RollOutOf     fleet.ServiceID          `json:"roll-out-of,omitempty"`
	RollOut       *directory.RollOut       `json:"roll-out,omitempty"`
	StatusOf      fleet.ServiceID          `json:"status-of,omitempty"`
	RollOutStatus *directory.RollOutStatus `json:"roll-out-status,omitempty"`
	Deleted       bool                     `json:"gone,omitempty"`
	// RemoveInMillis is the time until the change takes effect, if the deletion may be due to a fault of the store.
	RemoveInMillis int64 `json:"lapses-millis,omitempty"`
}

type tableMessage struct {
	Version  uint64            `json:"version"`
	Routes   []*routing.Route  `json:"routes"`
	Services []routing.Service `json:"services"`
	Limits   routing.Limits    `json:"limits"`
	// CustomersIncluded is set by instances that know of customers. Without it the configuration may have some.
	CustomersIncluded bool `json:"customers-included,omitempty"`
	// Customers is null if requests need no key; an empty list accepts no key.
	Customers []customer.Customer `json:"customers"`
}

// encode converts an update into a message; times become durations from now.
func encode(update Update, now time.Time) updateMessage {
	message := updateMessage{Revision: update.Position.Revision, Era: update.Position.Era, AgeMillis: update.Age.Milliseconds(), Full: update.Full, Unusable: update.Unusable}
	if update.Known {
		known := int64(math.Floor(float64(update.KnownSinceRequest) / float64(time.Millisecond)))
		message.KnownMillis = &known
	}
	for _, change := range update.Changes {
		encoded := changeMessage{
			Assignment: change.Assignment, ReplicaID: change.ReplicaID, Zone: change.Zone, InstanceID: change.InstanceID,
			RegisteredInstance: change.RegisteredInstance, Deleted: change.Deleted,
			RollOutOf: change.RollOutOf, RollOut: change.RollOut, StatusOf: change.StatusOf, RollOutStatus: change.RollOutStatus,
		}
		if change.Table != nil {
			encoded.Table = &tableMessage{change.Table.Version(), change.Table.Routes(), change.Table.Services(), change.Table.Limits(), true, change.Table.Customers().All()}
		}
		if change.RemoveAt.After(now) {
			encoded.RemoveInMillis = change.RemoveAt.Sub(now).Milliseconds()
		}
		if change.RegisteredReplica != nil {
			entry := *change.RegisteredReplica
			encoded.ColdMillis = max(0, entry.ColdUntil.Sub(now).Milliseconds())
			entry.ColdUntil = time.Time{}
			encoded.RegisteredReplica = &entry
		}
		message.Changes = append(message.Changes, encoded)
	}
	return message
}

// decode converts a message into an update. Routes continue the weighted distribution of the previous table, which may
// be nil.
func (m *updateMessage) decode(previous *routing.Table, now time.Time) (Update, error) {
	update := Update{Position: Position{Era: m.Era, Revision: m.Revision}, Age: millis(m.AgeMillis), Full: m.Full, Unusable: m.Unusable}
	if m.KnownMillis != nil {
		update.Known = true
		update.KnownSinceRequest = time.Duration(max(-maxMessageTime.Milliseconds(), min(*m.KnownMillis, maxMessageTime.Milliseconds()))) * time.Millisecond
	}
	for _, encoded := range m.Changes {
		change := directory.Change{
			Assignment: encoded.Assignment, ReplicaID: encoded.ReplicaID, RegisteredReplica: encoded.RegisteredReplica, Zone: encoded.Zone, InstanceID: encoded.InstanceID,
			RegisteredInstance: encoded.RegisteredInstance, Deleted: encoded.Deleted,
			RollOutOf: encoded.RollOutOf, RollOut: encoded.RollOut, StatusOf: encoded.StatusOf, RollOutStatus: encoded.RollOutStatus,
		}
		dropUnusable(&change)
		if encoded.RemoveInMillis > 0 {
			change.RemoveAt = now.Add(millis(encoded.RemoveInMillis))
		}
		if change.RegisteredReplica != nil && encoded.ColdMillis > 0 {
			change.RegisteredReplica.ColdUntil = now.Add(millis(encoded.ColdMillis))
		}
		if encoded.Table != nil && !encoded.Table.CustomersIncluded {
			update.Unmarked = true
			continue
		}
		if table := encoded.Table; table != nil {
			if slices.Contains(table.Routes, nil) {
				return Update{}, eris.New("peer sent a routing table with a null route")
			}
			change.Table = routing.New(table.Version, table.Routes, table.Services, table.Limits, previous)
			if table.Customers != nil {
				customers, err := customer.NewRegistry(table.Customers)
				if err != nil {
					return Update{}, eris.Wrap(err, "customers of a peer's configuration")
				}
				change.Table = change.Table.WithCustomers(customers)
			}
			previous = change.Table
		}
		update.Changes = append(update.Changes, change)
	}
	return update, nil
}

// maxMessageTime bounds the times in a peer's message, which would otherwise overflow.
const maxMessageTime = 365 * 24 * time.Hour

func millis(count int64) time.Duration {
	return time.Duration(max(0, min(count, maxMessageTime.Milliseconds()))) * time.Millisecond
}

// dropUnusable removes an entry that names no replica or instance to use, as a peer of another build may send it. What it
// replaces is then removed.
func dropUnusable(change *directory.Change) {
	var err error
	if change.RegisteredReplica != nil {
		if err = change.RegisteredReplica.Check(); err != nil {
			change.RegisteredReplica = nil
		}
	}
	if change.RegisteredInstance != nil {
		if err = errors.Join(err, change.RegisteredInstance.Check()); err != nil {
			change.RegisteredInstance = nil
		}
	}
	if change.Assignment != nil {
		if err = errors.Join(err, change.Assignment.Check()); err != nil {
			change.Assignment = nil
		}
	}
	if change.RollOut != nil {
		if err = errors.Join(err, change.RollOut.Check()); err != nil {
			change.RollOut = nil
		}
	}
	if err != nil {
		klog.InfoS("Entry of a peer not usable", "replica", change.ReplicaID, "instance", change.InstanceID, "roll-out", change.RollOutOf, "err", err)
	}
}

// Client calls peers through a peerrpc.Client. It implements Peers.
type Client struct {
	// CurrentTable returns the table in force, or nil.
	CurrentTable func() *routing.Table
	rpcClient    *peerrpc.Client
}

// NewClient returns a client that calls peers through rpcClient.
func NewClient(rpcClient *peerrpc.Client, currentTable func() *routing.Table) *Client {
	return &Client{CurrentTable: currentTable, rpcClient: rpcClient}
}

// FetchUpdate implements Peers.
func (c *Client) FetchUpdate(ctx context.Context, address string, after Position, wait time.Duration) (Update, error) {
	var message updateMessage
	err := c.rpcClient.Call(ctx, address, UpdateMethod, updateRequest{After: after.Revision, Era: after.Era, WaitMillis: wait.Milliseconds()}, &message)
	if errors.Is(err, peerrpc.ErrResultTooLarge) {
		return Update{}, eris.Wrapf(ErrAnswerTooLarge, "update of peer %s", address)
	}
	if err != nil {
		return Update{}, err
	}
	return message.decode(c.CurrentTable(), time.Now())
}

// AnswerUpdate handles a call of UpdateMethod. It is a peerrpc.Handler.
func (f *Follower) AnswerUpdate(ctx context.Context, params json.RawMessage) (any, error) {
	var request updateRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	wait := time.Duration(min(max(request.WaitMillis, 0), maxWait.Milliseconds())) * time.Millisecond
	return encode(f.UpdateSince(ctx, Position{Era: request.Era, Revision: request.After}, wait), time.Now()), nil
}
