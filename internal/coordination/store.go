// Package coordination makes the calls to the key-value store and the instance list of a deployment over net/http.
//
// Each adapter owns the counters of its calls. Calls are bounded in time and size. Reads are retried after a pause with
// jitter; a write is never retried here, because only its caller can decide whether that is right. Nothing here
// interprets a document.
package coordination

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/document"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// KeyValue is a key with its value, as the protocol of the store encodes it.
type KeyValue struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// WatchResponse is the response body of a watch.
type WatchResponse struct {
	Entries []KeyValue `json:"entries"`
}

// WriteResponse is the response body of a write that took effect and of one that met a conflict.
type WriteResponse struct {
	Revision uint64 `json:"revision"`
}

// Store makes calls to the key-value store. It implements configuration.Store.
type Store struct {
	httpClient
}

var _ configuration.Store = (*Store)(nil)

// NewStore returns an adapter of the store at the base URL.
func NewStore(baseURL string, options Options) *Store {
	return &Store{newHTTPClient(baseURL, options)}
}

// Get implements configuration.Store.
func (s *Store) Get(ctx context.Context, key string) (configuration.Document, error) {
	var entry KeyValue
	status, err := s.readWithRetry(ctx, "get", "/v1/kv/"+url.PathEscape(key), s.options.Timeout, &entry)
	if status == http.StatusNotFound {
		return configuration.Document{Key: key}, nil
	}
	if err != nil {
		return configuration.Document{}, err
	}
	if entry.Key != key || entry.Revision == 0 {
		return configuration.Document{}, badResponse("asked for key %q, got %q at revision %d", key, entry.Key, entry.Revision)
	}
	return entry.document(), nil
}

func (e KeyValue) document() configuration.Document {
	return configuration.Document{Key: e.Key, Revision: e.Revision, Text: []byte(e.Value)}
}

// Watch implements configuration.Store. It makes a single call to the store, however long it waits.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]configuration.Document, error) {
	query := url.Values{
		"prefix":      {prefix},
		"after":       {strconv.FormatUint(after, 10)},
		"wait-millis": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var changes WatchResponse
	if _, err := s.readOnce(ctx, "watch", "/v1/watch?"+query.Encode(), wait+s.options.Timeout, &changes); err != nil {
		return nil, err
	}
	documents := make([]configuration.Document, 0, len(changes.Entries))
	last := after
	for _, entry := range changes.Entries {
		if entry.Revision <= last {
			return nil, badResponse("revision %d follows revision %d in a watch", entry.Revision, last)
		}
		last = entry.Revision
		documents = append(documents, entry.document())
	}
	return documents, nil
}

// CompareAndSwap implements configuration.Store. It sends the write once.
func (s *Store) CompareAndSwap(ctx context.Context, key string, text []byte, baseRevision uint64) (uint64, error) {
	if len(text) > document.MaxBytes {
		return 0, verdict.New(verdict.NotRun, verdict.InvalidRequest, "the value has %d bytes; the store accepts at most %d", len(text), document.MaxBytes)
	}
	callCtx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	requestURL := s.baseURL + "/v1/kv/" + url.PathEscape(key) + "?revision=" + strconv.FormatUint(baseRevision, 10)
	request, err := http.NewRequestWithContext(callCtx, http.MethodPut, requestURL, bytes.NewReader(text))
	if err != nil {
		return 0, verdict.New(verdict.NotRun, verdict.InvalidRequest, "%v", err)
	}
	// Without GetBody, net/http cannot send the body a second time on its own.
	request.GetBody = nil
	status, body, failure := s.send("put", request)
	if failure != nil {
		return 0, failure
	}
	var written WriteResponse
	switch {
	case status == http.StatusConflict:
		// Status 409 means that the write did not take effect, even if the body cannot be decoded.
		_ = json.Unmarshal(body, &written)
		return 0, &configuration.ConflictError{Key: key, Base: baseRevision, Current: written.Revision}
	case status >= 400 && status < 500:
		return 0, verdict.New(verdict.NotRun, verdict.InvalidRequest, "the store returned HTTP status %d for a write", status)
	case status != http.StatusOK:
		return 0, verdict.New(verdict.MayHaveRun, verdict.ServerError, "the store returned HTTP status %d for a write", status)
	}
	if err := json.Unmarshal(body, &written); err != nil || written.Revision <= baseRevision {
		return 0, verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "the store's answer to a write at revision %d cannot be used: %q", baseRevision, truncated(body))
	}
	return written.Revision, nil
}

// badResponse returns the error for a response of the platform that cannot be used.
func badResponse(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.BadAnswer, "the platform's answer cannot be used: %s", fmt.Sprintf(format, args...))
}

// truncated returns at most the first 80 bytes of a body, for an error message.
func truncated(body []byte) []byte {
	return body[:min(len(body), 80)]
}
