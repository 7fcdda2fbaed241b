package peer

// The end of a parts.run at its sender. Its results are notifications and its response only ends it, so the link
// matches the response itself: jsonrpc2 would keep a waiting goroutine for each call and decode each response twice.

import (
	"bytes"
	"context"
	"strconv"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// partsID is set in the ids of parts.run; the ids without it belong to calls of jsonrpc2.
const partsID = 1

var (
	responsePrefix = []byte(`{"jsonrpc":"2.0","id":`)
	nullResult     = []byte(`,"result":null}`)
)

// endOfCall takes the response of a parts.run in the form that inCall writes. Another form goes through the general
// decoder to onReceive.
func (l *link) endOfCall(frame []byte) bool {
	rest, ok := bytes.CutPrefix(frame, responsePrefix)
	if !ok {
		return false
	}
	digits, ok := bytes.CutSuffix(rest, nullResult)
	if !ok {
		return false
	}
	id, err := strconv.ParseUint(string(digits), 10, 64)
	if err != nil || id&partsID == 0 {
		return false
	}
	l.endCall(id, nil)
	return true
}

// onReceive hears of every message that jsonrpc2 decodes.
func (l *link) onReceive(_ *jsonrpc2.Request, response *jsonrpc2.Response) {
	if response == nil || response.ID.IsString || response.ID.Num&partsID == 0 {
		return
	}
	if response.Error != nil {
		l.endCall(response.ID.Num, response.Error)
		return
	}
	l.endCall(response.ID.Num, nil)
}

// endCall settles the parts for which the peer gave no result before it ended the call.
func (l *link) endCall(id uint64, failure error) {
	l.mu.Lock()
	call := l.calls[id]
	l.mu.Unlock()
	if call == nil {
		return // every part has its result
	}
	refused := fromRPCError(failure)
	switch {
	case refused != nil:
	case failure != nil:
		refused = verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "no answer from the peer: %v", failure)
	default:
		refused = verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "%q ended the call without a result", call.to)
	}
	call.failAll(refused)
}

// loseCalls settles the calls of a connection that has ended. A call that is registered later finds the stream
// closed.
func (l *link) loseCalls() {
	_ = l.stream.Close()
	l.mu.Lock()
	lost := make([]*outCall, 0, len(l.calls))
	for _, call := range l.calls {
		lost = append(lost, call)
	}
	l.mu.Unlock()
	if len(lost) == 0 {
		return
	}
	// The link may be closed under locks that a receiver of results needs.
	go func() {
		for _, call := range lost {
			call.failAll(call.send.lost(context.Background(), errClosed))
		}
	}()
}
