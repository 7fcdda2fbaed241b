package link

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"
)

// Client calls peers over one lasting connection each. It is safe for concurrent use.
type Client struct {
	mutex sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{conns: make(map[string]*jsonrpc2.Conn)} }

// Call calls a method of the peer at the address, IP:port. A connection that failed a call is closed, because it may have
// gone silent.
func (c *Client) Call(ctx context.Context, address, method string, params, into any) error {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	if err := conn.Call(ctx, method, params, into); err != nil {
		c.drop(address, conn)
		return eris.Wrap(err, "peer")
	}
	return nil
}

// Connections returns the number of connections that are kept.
func (c *Client) Connections() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.conns)
}

func (c *Client) connect(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	if known := c.known(address); known != nil {
		return known, nil
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "peer")
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if opened := c.open(address); opened != nil { // by another call meanwhile
		_ = raw.Close() // nothing was sent on it
		return opened, nil
	}
	// The connection outlives the call that opened it; nothing is answered on this side.
	conn := jsonrpc2.NewConn(context.WithoutCancel(ctx), newStream(raw, longestAnswer, 0), refuse{})
	c.conns[address] = conn
	return conn, nil
}

// known returns the open connection to the address, or nil.
func (c *Client) known(address string) *jsonrpc2.Conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.open(address)
}

// open is known with the lock taken.
func (c *Client) open(address string) *jsonrpc2.Conn {
	known := c.conns[address]
	if known == nil {
		return nil
	}
	select {
	case <-known.DisconnectNotify(): // closed by the peer while idle
		delete(c.conns, address)
		return nil
	default:
		return known
	}
}

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
		klog.V(1).InfoS("Peer connection not closed", "err", err)
	}
}

// refuse answers calls on the side that only calls.
type refuse struct{}

// Handle implements jsonrpc2.Handler.
func (refuse) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	reply(ctx, conn, request, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method"})
}
