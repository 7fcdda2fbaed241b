package backend

// The messages of the backend server protocol: requests are rendered into one buffer, so that one
// write sends them, and answers are checked against the call that they must belong to.

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/replica"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// maxAnswerBytes is the longest answer that is read; a longer one is a bad answer.
const maxAnswerBytes = 8 << 20

// message is the union of the bodies that a backend server sends.
type message struct {
	RequestID string             `json:"request-id"`
	Service   string             `json:"service"`
	Shard     string             `json:"shard"`
	Version   uint64             `json:"version"`
	Rows      json.RawMessage    `json:"rows"`
	StartMark string             `json:"start-mark"`
	Held      []snapshot.Version `json:"held"`
	Leaving   bool               `json:"leaving"`
	NotRun    bool               `json:"not-run"`
	Reason    string             `json:"reason"`
}

func (m *message) reply() replica.Reply {
	return replica.Reply{Rows: m.Rows, StartMark: m.StartMark, Held: m.Held, Leaving: m.Leaving}
}

// appendHead renders a request up to the blank line. The body follows in the same buffer.
func appendHead(buffer []byte, method, path, host string, length int) []byte {
	buffer = append(buffer, method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, path...)
	buffer = append(buffer, " HTTP/1.1\r\nHost: "...)
	buffer = append(buffer, host...)
	if length > 0 {
		buffer = append(buffer, "\r\nContent-Type: application/json\r\nContent-Length: "...)
		buffer = strconv.AppendInt(buffer, int64(length), 10)
	}
	return append(buffer, "\r\n\r\n"...)
}

// appendCall renders the body of a shard query. The deadline is sent as the time left, because the
// clocks of two instances differ.
func appendCall(buffer []byte, call *replica.Call, left time.Duration) []byte {
	buffer = append(buffer, `{"request-id":`...)
	buffer = appendString(buffer, call.RequestID)
	buffer = append(buffer, `,"service":`...)
	buffer = appendString(buffer, string(call.Service))
	buffer = append(buffer, `,"shard":`...)
	buffer = appendString(buffer, string(call.Shard))
	buffer = append(buffer, `,"version":`...)
	buffer = strconv.AppendUint(buffer, uint64(call.Version), 10)
	buffer = append(buffer, `,"deadline-millis":`...)
	buffer = strconv.AppendInt(buffer, max(left.Milliseconds(), 1), 10)
	buffer = append(buffer, `,"query":`...)
	if len(call.Query) == 0 {
		buffer = append(buffer, "null"...)
	} else {
		buffer = append(buffer, call.Query...)
	}
	return append(buffer, '}')
}

func appendString(buffer []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(text) // a string always encodes
			return append(buffer, quoted...)
		}
	}
	buffer = append(buffer, '"')
	buffer = append(buffer, text...)
	return append(buffer, '"')
}

// parseAnswer judges a complete response. The reply is filled as far as the server said something, also
// next to an error. keep tells whether the connection can carry another request: an answer that does not
// belong to the call leaves it unknown what comes next on the connection.
func parseAnswer(status int, body []byte, call *replica.Call) (reply replica.Reply, failure *verdict.Error, keep bool) {
	var answer message
	if err := json.Unmarshal(body, &answer); err != nil {
		return reply, verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "status %d, not JSON: %v", status, err), false
	}
	if failure := answer.excess(); failure != nil {
		return reply, failure, false
	}
	if answer.RequestID != "" && answer.RequestID != call.RequestID {
		return reply, verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "answer to request %.64q", answer.RequestID), false
	}
	switch {
	case status == 200:
		return checkRows(&answer, call)
	case status == 409:
		return answer.reply(), verdict.New(verdict.NotRun, verdict.VersionNotHeld, "version %d is not held", call.Version), true
	case answer.NotRun:
		return answer.reply(), verdict.New(verdict.NotRun, reasonOf(answer.Reason), "status %d", status), true
	default:
		return answer.reply(), verdict.New(verdict.MayHaveRun, failureReason(answer.Reason), "status %d", status), true
	}
}

func checkRows(answer *message, call *replica.Call) (replica.Reply, *verdict.Error, bool) {
	bad := func(field string) (replica.Reply, *verdict.Error, bool) {
		return replica.Reply{}, verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "answer with wrong %s", field), false
	}
	switch {
	case answer.RequestID != call.RequestID:
		return bad("request-id")
	case answer.Service != string(call.Service):
		return bad("service")
	case answer.Shard != string(call.Shard):
		return bad("shard")
	case answer.Version != uint64(call.Version):
		return bad("version")
	case len(answer.Rows) == 0 || bytes.Equal(answer.Rows, []byte("null")):
		return bad("rows")
	}
	return answer.reply(), nil, true
}

func reasonOf(name string) verdict.Reason {
	var reason verdict.Reason
	if reason.UnmarshalText([]byte(name)) != nil || reason == verdict.None {
		return verdict.Shedding
	}
	return reason
}

func failureReason(name string) verdict.Reason {
	switch name {
	case verdict.Cancelled.String():
		return verdict.Cancelled
	case verdict.DeadlinePassed.String():
		return verdict.DeadlinePassed
	}
	return verdict.ServerError
}
