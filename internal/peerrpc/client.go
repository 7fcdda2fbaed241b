package peerrpc

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"
)

// Client calls peers over one persistent connection each. It is safe for concurrent use.
type Client struct {
	mutex sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{conns: make(map[string]*jsonrpc2.Conn)} }

// Call calls a method of the peer at the address, which has the form IP:port, and stores the response in result. If the
// call fails, its connection is closed, because it may no longer deliver anything. The error is ErrResultTooLarge if the
// peer has a response and does not send it because of its size.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	if err := conn.Call(ctx, method, params, result); err != nil {
		c.drop(address, conn)
		if failure, refused := errors.AsType[*jsonrpc2.Error](err); refused && failure.Code == codeTooLarge {
			err = ErrResultTooLarge
		}
		return eris.Wrapf(err, "call method %s of peer %s", method, address)
	}
	return nil
}

// Connections returns the number of connections that the client holds.
func (c *Client) Connections() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.conns)
}

// connect returns the open connection to the address, or a new one if there is none.
func (c *Client) connect(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	if conn := c.lookup(address); conn != nil {
		return conn, nil
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to peer %s", address)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if existing := c.lookupLocked(address); existing != nil { // Another call has connected meanwhile.
		_ = raw.Close() // Nothing was sent on it.
		return existing, nil
	}
	// The connection outlives the call that opened it. Calls from the peer are rejected.
	conn := jsonrpc2.NewConn(context.WithoutCancel(ctx), newStream(raw, maxResponseBytes, 0), rejectCalls{})
	c.conns[address] = conn
	return conn, nil
}

// lookup returns the open connection to the address, or nil if there is none.
func (c *Client) lookup(address string) *jsonrpc2.Conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lookupLocked(address)
}

// lookupLocked is lookup for callers that hold the mutex.
func (c *Client) lookupLocked(address string) *jsonrpc2.Conn {
	conn := c.conns[address]
	if conn == nil {
		return nil
	}
	select {
	case <-conn.DisconnectNotify(): // The peer has closed the idle connection.
		delete(c.conns, address)
		return nil
	default:
		return conn
	}
}

// drop closes the connection, and forgets it unless another one has replaced it.
func (c *Client) drop(address string, conn *jsonrpc2.Conn) {
	c.mutex.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mutex.Unlock()
	closeConn(conn)
}

func closeConn(conn *jsonrpc2.Conn) {
	if err := conn.Close(); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		klog.V(1).InfoS("Closing a peer connection failed", "err", err)
	}
}

// rejectCalls is the handler of client connections. It rejects all calls.
type rejectCalls struct{}

// Handle implements jsonrpc2.Handler.
func (rejectCalls) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	respond(ctx, conn, request, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method"})
}

// Connection is the client's connection to one peer, for calls that end independently of each other.
type Connection struct {
	client  *Client
	address string
	conn    *jsonrpc2.Conn
}

// Connect returns the open connection to the address, or a new one if there is none.
func (c *Client) Connect(ctx context.Context, address string) (*Connection, error) {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return &Connection{c, address, conn}, nil
}

// Call calls a method of the peer. Unlike Client.Call it leaves the connection open if ctx ends or the peer answers with
// an error, because other calls may be in progress on it.
func (c *Connection) Call(ctx context.Context, method string, params, result any) error {
	return eris.Wrapf(c.conn.Call(ctx, method, params, result), "call method %s of peer %s", method, c.address)
}

// Notify calls a method of the peer without waiting for its end.
func (c *Connection) Notify(ctx context.Context, method string, params any) error {
	return eris.Wrapf(c.conn.Notify(ctx, method, params), "notify peer %s of %s", c.address, method)
}

// Drop closes the connection. The calls in progress on it fail.
func (c *Connection) Drop() { c.client.drop(c.address, c.conn) }

// IsRefusal reports whether the peer answered a call with an error, so that it did not run the method to its end.
func IsRefusal(err error) bool {
	_, refused := errors.AsType[*jsonrpc2.Error](err)
	return refused
}
