package httpapi

// Checks of form, each of which names the field at fault. Nothing has run when one fails.

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	maxIDLength     = 128
	maxTicketLength = 256
	maxShards       = 10_000
	maxShardLength  = 256
	// maxDeadlineMillis bounds a caller's deadline before it becomes a time, so that a huge one cannot overflow.
	// The catalogue's longest deadline is far below it.
	maxDeadlineMillis = int64(time.Hour / time.Millisecond)
)

func malformed(id, field, detail string) *api.Refusal {
	return &api.Refusal{ID: id, Verdict: verdict.NotRun, Reason: verdict.InvalidRequest, Field: field, Detail: detail}
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *api.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, api.MaxBodyBytes))
	if _, tooLong := errors.AsType[*http.MaxBytesError](err); tooLong {
		return nil, malformed("", "body", fmt.Sprintf("is longer than %d bytes", api.MaxBodyBytes))
	}
	if err != nil {
		return nil, malformed("", "body", "could not be read")
	}
	return body, nil
}

// decode reads one JSON object. A key that is not known is refused, because a misspelt "shards" or "ticket"
// would change what the request means without a sign.
func decode(body []byte, into any) *api.Refusal {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		if _, rest := decoder.Token(); !errors.Is(rest, io.EOF) {
			return malformed("", "body", "has text after the object")
		}
		return nil
	}
	if mistyped, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		field := mistyped.Field
		if field == "" {
			field = "body"
		}
		return malformed("", field, "cannot be a JSON "+mistyped.Value)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		if name = strings.Trim(name, `"`); name == "" {
			return malformed("", "body", "has an empty key")
		}
		return malformed("", name, "is not a known key")
	}
	return malformed("", "body", "is not a JSON object: "+err.Error())
}

// ParseQuery decodes and checks the body of a query.
func ParseQuery(body []byte) (api.Query, *api.Refusal) {
	var query api.Query
	if refusal := decode(body, &query); refusal != nil {
		return api.Query{}, refusal
	}
	if query.ID == "" || len(query.ID) > maxIDLength || !utf8.ValidString(query.ID) {
		return api.Query{}, malformed("", "id", fmt.Sprintf("must have 1 to %d characters", maxIDLength))
	}
	switch {
	case query.DeadlineMillis <= 0:
		return api.Query{}, malformed(query.ID, "deadline-millis", "must be 1 or more")
	case len(query.Query) == 0 || bytes.Equal(query.Query, []byte("null")):
		return api.Query{}, malformed(query.ID, "query", "is missing")
	case len(query.Ticket) > maxTicketLength:
		return api.Query{}, malformed(query.ID, "ticket", fmt.Sprintf("is longer than %d bytes", maxTicketLength))
	case len(query.Shards) > maxShards:
		return api.Query{}, malformed(query.ID, "shards", fmt.Sprintf("has more than %d names", maxShards))
	}
	seen := make(map[string]bool, len(query.Shards))
	for i, shard := range query.Shards {
		if shard == "" || len(shard) > maxShardLength || seen[shard] {
			return api.Query{}, malformed(query.ID, fmt.Sprintf("shards[%d]", i), "is empty, too long or named twice")
		}
		seen[shard] = true
	}
	return query, nil
}
