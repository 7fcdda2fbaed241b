package httpapi

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
	// maxDeadlineMillis caps a caller's deadline before the conversion to a time, which would overflow with a huge one.
	// It is far above the longest deadline of the catalogue.
	maxDeadlineMillis = int64(time.Hour / time.Millisecond)
)

// invalidRequest returns a refusal for a request whose form is wrong. The field is the one at fault; nothing has run.
func invalidRequest(id, field, detail string) *api.Refusal {
	return &api.Refusal{ID: id, Verdict: verdict.NotRun, Reason: verdict.InvalidRequest, Field: field, Detail: detail}
}

// readBody reads the body of a request up to api.MaxBodyBytes.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *api.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, api.MaxBodyBytes))
	if _, tooLong := errors.AsType[*http.MaxBytesError](err); tooLong {
		return nil, invalidRequest("", "body", fmt.Sprintf("is longer than %d bytes", api.MaxBodyBytes))
	}
	if err != nil {
		return nil, invalidRequest("", "body", "could not be read")
	}
	return body, nil
}

// decode decodes a body that holds exactly one JSON object. It refuses unknown keys, because a misspelt "shards" or
// "ticket" would silently change the meaning of the request.
func decode(body []byte, target any) *api.Refusal {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		if _, rest := decoder.Token(); !errors.Is(rest, io.EOF) {
			return invalidRequest("", "body", "has text after the object")
		}
		return nil
	}
	if typeError, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		field := typeError.Field
		if field == "" {
			field = "body"
		}
		return invalidRequest("", field, "cannot be a JSON "+typeError.Value)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		if name = strings.Trim(name, `"`); name == "" {
			return invalidRequest("", "body", "has an empty key")
		}
		return invalidRequest("", name, "is not a known key")
	}
	return invalidRequest("", "body", "is not a JSON object: "+err.Error())
}

// ParseQuery decodes the body of a query and checks its form. A refusal names the field at fault.
func ParseQuery(body []byte) (api.Query, *api.Refusal) {
	var query api.Query
	if refusal := decode(body, &query); refusal != nil {
		return api.Query{}, refusal
	}
	if query.ID == "" || len(query.ID) > maxIDLength || !utf8.ValidString(query.ID) {
		return api.Query{}, invalidRequest("", "id", fmt.Sprintf("must have 1 to %d characters", maxIDLength))
	}
	switch {
	case query.DeadlineMillis <= 0:
		return api.Query{}, invalidRequest(query.ID, "deadline-millis", "must be 1 or more")
	case len(query.Query) == 0 || bytes.Equal(query.Query, []byte("null")):
		return api.Query{}, invalidRequest(query.ID, "query", "is missing")
	case len(query.Ticket) > maxTicketLength:
		return api.Query{}, invalidRequest(query.ID, "ticket", fmt.Sprintf("is longer than %d bytes", maxTicketLength))
	case len(query.Shards) > maxShards:
		return api.Query{}, invalidRequest(query.ID, "shards", fmt.Sprintf("has more than %d names", maxShards))
	}
	seen := make(map[string]bool, len(query.Shards))
	for i, shard := range query.Shards {
		if shard == "" || len(shard) > maxShardLength || seen[shard] {
			return api.Query{}, invalidRequest(query.ID, fmt.Sprintf("shards[%d]", i), "is empty, too long or named twice")
		}
		seen[shard] = true
	}
	return query, nil
}
