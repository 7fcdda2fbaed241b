package forwarding

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/peerrpc"
)

const (
	// pingInterval is the time without a reply after which the peer is pinged, and pingTimeout how long it may take to
	// answer that: a round trip on a busy processor.
	pingInterval = 150 * time.Millisecond
	pingTimeout  = 250 * time.Millisecond
	// notifyTimeout limits the time to tell a peer of a cancellation.
	notifyTimeout = 100 * time.Millisecond
)

// PingMethod is the method by which an instance finds out whether one that is working on its request still runs.
const PingMethod = "ping"

// errSilent is returned for a peer that does not answer pings.
var errSilent = errors.New("the peer does not answer pings")

// Client calls peers through a peerrpc.Client, which nothing else uses. It implements Peers.
type Client struct {
	rpcClient *peerrpc.Client
}

var _ Peers = (*Client)(nil)

// NewClient returns a client that calls peers through rpcClient.
func NewClient(rpcClient *peerrpc.Client) *Client { return &Client{rpcClient} }

// Forward implements Peers.
func (c *Client) Forward(ctx context.Context, address string, request *Request) (reply Reply, sent bool, err error) {
	connectCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := c.rpcClient.Connect(connectCtx, address)
	if err != nil {
		return Reply{}, false, err
	}
	method := ForwardMethod
	if request.Customer != "" {
		method = ForwardForCustomerMethod
	}
	replied := make(chan error, 1)
	go func() { replied <- conn.Call(ctx, method, request, &reply) }()
	for {
		timer := time.NewTimer(pingInterval)
		select {
		case err := <-replied:
			timer.Stop()
			return c.finish(ctx, conn, request, &reply, err)
		case <-timer.C:
		}
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		err := conn.Call(pingCtx, PingMethod, struct{}{}, nil)
		cancel()
		if err != nil && ctx.Err() == nil && len(replied) == 0 {
			conn.Drop()
			<-replied
			return Reply{}, true, errSilent
		}
	}
}

// finish returns the result of a call that has ended. A peer that answered with an error has not run the request.
func (c *Client) finish(ctx context.Context, conn *peerrpc.Connection, request *Request, reply *Reply, err error) (Reply, bool, error) {
	switch {
	case err == nil:
		return *reply, true, nil
	case peerrpc.IsRefusal(err):
		return Reply{}, false, err
	case ctx.Err() != nil:
		notifyCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout)
		defer cancel()
		if notifyErr := conn.Notify(notifyCtx, CancelMethod, cancellation{request.Origin, request.Number}); notifyErr != nil {
			klog.V(1).InfoS("Cancellation of a forwarded request not sent", "err", notifyErr)
		}
	default:
		conn.Drop()
	}
	return Reply{}, true, err
}
