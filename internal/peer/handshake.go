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

// hello is the message of the handshake. The dialler sends it twice: first with its identity and nonce, then with its
// proof only. The response to the first hello carries the listener's identity, nonce and proof.
type hello struct {
	Instance    fleet.InstanceID   `json:"instance,omitempty"`
	Incarnation ticket.Incarnation `json:"incarnation"`
	Zone        fleet.ZoneID       `json:"zone,omitempty"`
	Nonce       []byte             `json:"nonce,omitempty"`
	Proof       []byte             `json:"proof,omitempty"`
}

// handshakeProof returns the HMAC by which one side proves that it holds the key. The role prevents reflection of a
// proof to its sender, the two nonces prevent replay, and the length prefixes make the encoding of the fields
// unambiguous.
func handshakeProof(key []byte, role string, dialler, listener hello) []byte {
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

// ownHello returns the identity of this instance with a new nonce.
func (n *Node) ownHello() hello {
	return hello{
		Instance: n.settings.Instance, Incarnation: n.settings.Incarnation, Zone: n.settings.Zone,
		Nonce: n.random.bytes(nonceBytes),
	}
}

// performHandshake runs the dialler's side of the handshake and checks that the listener is the expected instance and
// holds the key.
func (pc *peerConn) performHandshake(ctx context.Context, expected fleet.InstanceID) error {
	own := pc.node.ownHello()
	var other hello
	if err := pc.call(ctx, methodHello, own, &other); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	if other.Instance != expected {
		return fmt.Errorf("handshake: the address of %q is served by %q", expected, other.Instance)
	}
	if len(other.Nonce) != nonceBytes ||
		!hmac.Equal(other.Proof, handshakeProof(pc.node.settings.Key, "listener", own, other)) {
		return verdict.New(verdict.NotRun, verdict.Unauthorised, "%q does not hold the peer key", expected)
	}
	proof := hello{Proof: handshakeProof(pc.node.settings.Key, "dialler", own, other)}
	if err := pc.call(ctx, methodHello, proof, nil); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	pc.admit(other)
	return nil
}

// admit completes the handshake: from now on the connection takes all methods and frames up to the configured size.
func (pc *peerConn) admit(other hello) {
	pc.peer = other
	pc.stream.maxFrameBytes.Store(int64(pc.node.settings.Limits.MaxFrameBytes))
	pc.admitted.Store(true)
}

// handleHello handles the two steps of the listener's side of the handshake. It runs on the goroutine that reads the
// connection, so no other message is handled before it has returned.
func (pc *peerConn) handleHello(params json.RawMessage) (any, *verdict.Error) {
	refused := verdict.New(verdict.NotRun, verdict.Unauthorised, "the handshake failed")
	var other hello
	if pc.dialled || pc.admitted.Load() || json.Unmarshal(params, &other) != nil {
		return nil, refused
	}
	if other.Proof == nil {
		if pc.handshake != nil || other.Instance == "" || len(other.Nonce) != nonceBytes {
			return nil, refused
		}
		own := pc.node.ownHello()
		own.Proof = handshakeProof(pc.node.settings.Key, "listener", other, own)
		pc.handshake = &handshakeState{dialler: other, listener: own}
		return own, nil
	}
	if pc.handshake == nil ||
		!hmac.Equal(other.Proof, handshakeProof(pc.node.settings.Key, "dialler", pc.handshake.dialler, pc.handshake.listener)) {
		return nil, refused
	}
	if !pc.node.admitInbound(pc, pc.handshake.dialler) {
		return nil, verdict.New(verdict.NotRun, verdict.Overloaded, "the called instance has reached its limit of peer connections")
	}
	return struct{}{}, nil
}

// handshakeState holds the hello of both sides, which the dialler's proof must cover.
type handshakeState struct {
	dialler, listener hello
}

// startHandshakeTimeout closes the connection if its handshake is not complete after the given time.
func (pc *peerConn) startHandshakeTimeout(after time.Duration) {
	time.AfterFunc(after, func() {
		if !pc.admitted.Load() && pc.ctx.Err() == nil {
			pc.node.counters.refused.Add(1)
			pc.close()
		}
	})
}
