package peer

// This file handles the responses to parts.run calls at their sender. The results arrive as notifications and the
// response only ends the call, so peerConn matches responses to calls itself: jsonrpc2 would keep a waiting goroutine
// for each call and decode each response twice.

import (
	"bytes"
	"context"
	"strconv"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// partsRunIDBit is set in the ids of parts.run calls and clear in the ids of calls that go through jsonrpc2.
const partsRunIDBit = 1

var (
	responsePrefix   = []byte(`{"jsonrpc":"2.0","id":`)
	nullResultSuffix = []byte(`,"result":null}`)
)

// handlePartsRunResponse handles the response to a parts.run call in exactly the form that inboundCall writes and
// reports whether the frame has that form. Any other form goes through the decoder of jsonrpc2 to onReceive.
func (pc *peerConn) handlePartsRunResponse(frame []byte) bool {
	rest, ok := bytes.CutPrefix(frame, responsePrefix)
	if !ok {
		return false
	}
	digits, ok := bytes.CutSuffix(rest, nullResultSuffix)
	if !ok {
		return false
	}
	id, err := strconv.ParseUint(string(digits), 10, 64)
	if err != nil || id&partsRunIDBit == 0 {
		return false
	}
	pc.endCall(id, nil)
	return true
}

// onReceive is called by jsonrpc2 for every message that it decodes. It handles the responses to parts.run calls.
func (pc *peerConn) onReceive(_ *jsonrpc2.Request, response *jsonrpc2.Response) {
	if response == nil || response.ID.IsString || response.ID.Num&partsRunIDBit == 0 {
		return
	}
	if response.Error != nil {
		pc.endCall(response.ID.Num, response.Error)
		return
	}
	pc.endCall(response.ID.Num, nil)
}

// endCall fails the parts for which the peer sent no result before it ended the call. A nil failure stands for a
// response without an error.
func (pc *peerConn) endCall(id uint64, failure error) {
	pc.mu.Lock()
	call := pc.callsByID[id]
	pc.mu.Unlock()
	if call == nil {
		return // every part already has its result
	}
	refused := fromRPCError(failure)
	switch {
	case refused != nil:
	case failure != nil:
		refused = verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "no answer from the peer: %v", failure)
	default:
		refused = verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "%q ended the call without a result for the part", call.to)
	}
	call.failAll(refused)
}

// failAllCalls fails the calls of a connection that has ended. It closes the stream first, so a call that is registered
// later fails when it enqueues its frame.
func (pc *peerConn) failAllCalls() {
	_ = pc.stream.Close()
	pc.mu.Lock()
	lost := make([]*outboundCall, 0, len(pc.callsByID))
	for _, call := range pc.callsByID {
		lost = append(lost, call)
	}
	pc.mu.Unlock()
	if len(lost) == 0 {
		return
	}
	// The connection may be closed while locks are held that the deliver functions of the calls need.
	go func() {
		for _, call := range lost {
			call.failAll(call.request.unansweredError(context.Background(), errClosed))
		}
	}()
}
