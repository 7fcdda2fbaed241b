package backend

// Encoding and decoding of the backend server protocol. A request is encoded into one buffer, so that a single write
// sends it. A response is checked against the call it must belong to.

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/replica"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// maxResponseBytes is the maximum size of a response body; a longer response fails with the reason BadAnswer.
const maxResponseBytes = 8 << 20

// responseBody has the fields of all response bodies that a backend server sends.
type responseBody struct {
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

func (m *responseBody) answer() replica.Answer {
	return replica.Answer{Rows: m.Rows, StartMark: m.StartMark, HeldVersions: m.Held, Leaving: m.Leaving}
}

// appendRequestHead appends the request line and the header, including the blank line at its end. length is the size of
// the body, which the caller appends.
func appendRequestHead(buffer []byte, method, path, host string, length int) []byte {
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

// appendCallBody appends the body of a shard query. The deadline is sent as the remaining time, because the clocks of
// this instance and the server differ.
func appendCallBody(buffer []byte, call *replica.Call, remaining time.Duration) []byte {
	buffer = append(buffer, `{"request-id":`...)
	buffer = appendJSONString(buffer, call.RequestID)
	buffer = append(buffer, `,"service":`...)
	buffer = appendJSONString(buffer, string(call.Service))
	buffer = append(buffer, `,"shard":`...)
	buffer = appendJSONString(buffer, string(call.Shard))
	buffer = append(buffer, `,"version":`...)
	buffer = strconv.AppendUint(buffer, uint64(call.Version), 10)
	buffer = append(buffer, `,"deadline-millis":`...)
	buffer = strconv.AppendInt(buffer, max(remaining.Milliseconds(), 1), 10)
	buffer = append(buffer, `,"query":`...)
	if len(call.Query) == 0 {
		buffer = append(buffer, "null"...)
	} else {
		buffer = append(buffer, call.Query...)
	}
	return append(buffer, '}')
}

// appendJSONString appends the text as a JSON string. Text without characters that need escaping is copied as it is.
func appendJSONString(buffer []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(text) // Marshal cannot fail for a string.
			return append(buffer, quoted...)
		}
	}
	buffer = append(buffer, '"')
	buffer = append(buffer, text...)
	return append(buffer, '"')
}

// parseResponse decodes and checks a complete response. The answer holds what the server reported about itself, also if
// it rejected or failed the call; it is empty if the response is unusable. reusable reports whether the connection can
// carry another request: after a response that does not belong to the call, it is unknown what follows on the
// connection.
func parseResponse(status int, body []byte, call *replica.Call) (answer replica.Answer, failure *verdict.Error, reusable bool) {
	var response responseBody
	if err := json.Unmarshal(body, &response); err != nil {
		return answer, verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "response with status %d is not JSON: %v", status, err), false
	}
	if failure := response.checkSize(); failure != nil {
		return answer, failure, false
	}
	if response.RequestID != "" && response.RequestID != call.RequestID {
		return answer, verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "response belongs to request %.64q", response.RequestID), false
	}
	switch {
	case status == 200:
		return checkResult(&response, call)
	case status == 409:
		return response.answer(), verdict.New(verdict.NotRun, verdict.VersionNotHeld, "server does not hold version %d", call.Version), true
	case response.NotRun:
		return response.answer(), verdict.New(verdict.NotRun, rejectionReason(response.Reason), "server rejected the call with status %d", status), true
	default:
		return response.answer(), verdict.New(verdict.MayHaveRun, failureReason(response.Reason), "server failed with status %d", status), true
	}
}

// checkResult checks the body of a successful response against the call. Its results are those of parseResponse.
func checkResult(response *responseBody, call *replica.Call) (replica.Answer, *verdict.Error, bool) {
	mismatch := func(field string) (replica.Answer, *verdict.Error, bool) {
		return replica.Answer{}, verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "response with missing or wrong %s", field), false
	}
	switch {
	case response.RequestID != call.RequestID:
		return mismatch("request-id")
	case response.Service != string(call.Service):
		return mismatch("service")
	case response.Shard != string(call.Shard):
		return mismatch("shard")
	case response.Version != uint64(call.Version):
		return mismatch("version")
	case len(response.Rows) == 0 || bytes.Equal(response.Rows, []byte("null")):
		return mismatch("rows")
	}
	return response.answer(), nil, true
}

// rejectionReason returns the reason with the name that the server gave for not running the call, or Shedding if the
// name is empty or unknown.
func rejectionReason(name string) verdict.Reason {
	var reason verdict.Reason
	if reason.UnmarshalText([]byte(name)) != nil || reason == verdict.None {
		return verdict.Shedding
	}
	return reason
}

// failureReason returns the reason for a call that failed while it may have run: Cancelled or DeadlinePassed if the
// server named it, ServerError otherwise.
func failureReason(name string) verdict.Reason {
	switch name {
	case verdict.Cancelled.String():
		return verdict.Cancelled
	case verdict.DeadlinePassed.String():
		return verdict.DeadlinePassed
	}
	return verdict.ServerError
}
