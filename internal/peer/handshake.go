package peer

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/ticket"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const nonceBytes = 32

// hello is sent twice by the dialling side: first with its identity and nonce, then with its proof.
// The answer to the first carries the same of the other side, with the other side's proof.
type hello struct {
	Instance    fleet.InstanceID   `json:"instance,omitempty"`
	Incarnation ticket.Incarnation `json:"incarnation"`
	Zone        fleet.ZoneID       `json:"zone,omitempty"`
	Nonce       []byte             `json:"nonce,omitempty"`
	Proof       []byte             `json:"proof,omitempty"`
}

// prove returns the proof of one side that it holds the key. The role keeps a proof from being
// reflected, the two nonces keep it from being replayed, and the lengths keep fields apart.
func prove(key []byte, role string, dialler, listener hello) []byte {
	mac := hmac.New(sha256.New, key)
	write := func(field []byte) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		mac.Write(length[:])
		mac.Write(field)
	}
	write([]byte("medlarlatch peer 1 " + role))
	for _, side := range []hello{dialler, listener} {
		write([]byte(side.Instance))
		write(side.Incarnation[:])
		write([]byte(side.Zone))
		write(side.Nonce)
	}
	return mac.Sum(nil)
}

func (n *Node) self() hello {
	return hello{
		Instance: n.settings.Instance, Incarnation: n.settings.Incarnation, Zone: n.settings.Zone,
		Nonce: n.random.bytes(nonceBytes),
	}
}

// greet proves this instance to the dialled one and has it prove itself.
func (l *link) greet(ctx context.Context, want fleet.InstanceID) error {
	own := l.node.self()
	var other hello
	if err := l.call(ctx, methodHello, own, &other); err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	if other.Instance != want {
		return fmt.Errorf("hello: the address of %q is served by %q", want, other.Instance)
	}
	if len(other.Nonce) != nonceBytes ||
		!hmac.Equal(other.Proof, prove(l.node.settings.Key, "listener", own, other)) {
		return verdict.New(verdict.NotRun, verdict.Unauthorised, "%q does not hold the peer key", want)
	}
	proof := hello{Proof: prove(l.node.settings.Key, "dialler", own, other)}
	if err := l.call(ctx, methodHello, proof, nil); err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	l.admit(other)
	return nil
}

func (l *link) admit(other hello) {
	l.peer = other
	l.stream.maxFrame.Store(int64(l.node.settings.Limits.FrameBytes))
	l.admitted.Store(true)
}

// receiveHello answers the two steps of a dialling peer. It runs on the goroutine that reads the
// connection, so no other message is handled before it has returned.
func (l *link) receiveHello(params json.RawMessage) (any, *verdict.Error) {
	refused := verdict.New(verdict.NotRun, verdict.Unauthorised, "the handshake failed")
	var other hello
	if l.dialled || l.admitted.Load() || json.Unmarshal(params, &other) != nil {
		return nil, refused
	}
	if other.Proof == nil {
		if l.greeting != nil || other.Instance == "" || len(other.Nonce) != nonceBytes {
			return nil, refused
		}
		own := l.node.self()
		own.Proof = prove(l.node.settings.Key, "listener", other, own)
		l.greeting = &greeting{dialler: other, listener: own}
		return own, nil
	}
	if l.greeting == nil ||
		!hmac.Equal(other.Proof, prove(l.node.settings.Key, "dialler", l.greeting.dialler, l.greeting.listener)) {
		return nil, refused
	}
	if !l.node.admitInbound(l, l.greeting.dialler) {
		return nil, verdict.New(verdict.NotRun, verdict.Overloaded, "no room for another connection")
	}
	return struct{}{}, nil
}

type greeting struct {
	dialler, listener hello
}

// expireHello closes a connection whose handshake takes too long.
func (l *link) expireHello(after time.Duration) {
	time.AfterFunc(after, func() {
		if !l.admitted.Load() && l.ctx.Err() == nil {
			l.node.counters.refused.Add(1)
			l.close()
		}
	})
}
