package httpapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/telemetry"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

type fakeService struct {
	refusal *api.Refusal
	request Request
}

func (f *fakeService) Query(_ context.Context, request Request) (json.RawMessage, *api.Refusal) {
	f.request = request
	return json.RawMessage(`{"id":"q"}`), f.refusal
}

func (f *fakeService) Tickets(_ context.Context, count int) (api.Tickets, *api.Refusal) {
	return api.Tickets{Tickets: make([]string, count)}, f.refusal
}

func newCallers(t *testing.T, service Service) http.Handler {
	t.Helper()
	metrics, err := telemetry.New("e1", "z1")
	is.New(t).NoErr(err)
	return NewCallerServer(service, metrics).Handler
}

func post(handler http.Handler, path, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return recorder
}

// TestMalformed guards against malformed input that is accepted, and against a refusal that does not name the field at
// fault.
func TestMalformed(t *testing.T) {
	const query = "/v1/applications/a/query"
	cases := map[string]struct{ path, body, field string }{
		"not JSON":          {query, `{`, "body"},
		"array":             {query, `[]`, "body"},
		"two objects":       {query, `{"id":"q","deadline-millis":1,"query":1}{}`, "body"},
		"too long":          {query, `{"id":"` + strings.Repeat("x", api.MaxBodyBytes) + `"}`, "body"},
		"no id":             {query, `{"deadline-millis":1,"query":1}`, "id"},
		"long id":           {query, `{"id":"` + strings.Repeat("x", 129) + `","deadline-millis":1,"query":1}`, "id"},
		"id of wrong type":  {query, `{"id":5}`, "id"},
		"zero deadline":     {query, `{"id":"q","deadline-millis":0,"query":1}`, "deadline-millis"},
		"negative deadline": {query, `{"id":"q","deadline-millis":-1,"query":1}`, "deadline-millis"},
		"deadline beyond":   {query, `{"id":"q","deadline-millis":99999999999999999999,"query":1}`, "deadline-millis"},
		"no query":          {query, `{"id":"q","deadline-millis":1}`, "query"},
		"null query":        {query, `{"id":"q","deadline-millis":1,"query":null}`, "query"},
		"unknown key":       {query, `{"id":"q","deadline-millis":1,"query":1,"shard":[]}`, "shard"},
		"shard twice":       {query, `{"id":"q","deadline-millis":1,"query":1,"shards":["a","a"]}`, "shards[1]"},
		"long ticket":       {query, `{"id":"q","deadline-millis":1,"query":1,"ticket":"` + strings.Repeat("x", 257) + `"}`, "ticket"},
		"no tickets":        {"/v1/tickets", `{"count":0}`, "count"},
		"many tickets":      {"/v1/tickets", `{"count":1001}`, "count"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			recorder := post(newCallers(t, &fakeService{}), c.path, c.body)
			check.Equal(recorder.Code, http.StatusBadRequest)
			var refusal api.Refusal
			check.NoErr(json.Unmarshal(recorder.Body.Bytes(), &refusal))
			check.Equal(refusal.Field, c.field)
			check.Equal(refusal.Reason, verdict.InvalidRequest)
			check.Equal(refusal.Verdict, verdict.NotRun)
		})
	}
}

// TestHugeDeadline guards against an overflow that turns a huge deadline into a time in the past.
func TestHugeDeadline(t *testing.T) {
	check := is.New(t)
	service := &fakeService{}
	recorder := post(newCallers(t, service), "/v1/applications/a/query", `{"id":"q","deadline-millis":9223372036854775807,"query":1}`)
	check.Equal(recorder.Code, http.StatusOK)
	check.True(time.Until(service.request.Deadline) > 59*time.Minute)
}

// TestRefusalSetsRetryAfter guards against a refusal without a Retry-After header, after which callers retry at once.
func TestRefusalSetsRetryAfter(t *testing.T) {
	check := is.New(t)
	service := &fakeService{refusal: &api.Refusal{Verdict: verdict.NotRun, Reason: verdict.Overloaded, RetryAfterMillis: 1200}}
	recorder := post(newCallers(t, service), "/v1/applications/a/query", `{"id":"q","deadline-millis":10,"query":1}`)
	check.Equal(recorder.Code, http.StatusServiceUnavailable)
	check.Equal(recorder.Header().Get("Retry-After"), "2")
}

// TestHeaderLimit guards against the acceptance of headers above the documented limit, which cost memory.
func TestHeaderLimit(t *testing.T) {
	metrics, err := telemetry.New("e1", "z1")
	is.New(t).NoErr(err)
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewCallerServer(&fakeService{}, metrics)
	server.Start()
	defer server.Close()
	for name, c := range map[string]struct{ length, status int }{
		"within": {api.MaxHeaderBytes - 1024, http.StatusOK}, "beyond": {api.MaxHeaderBytes + 1, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			request, err := http.NewRequest(http.MethodPost, server.URL+"/v1/applications/a/query", strings.NewReader(`{"id":"q","deadline-millis":10,"query":1}`))
			check.NoErr(err)
			request.Header.Set("X-Long", strings.Repeat("x", c.length))
			response, err := http.DefaultClient.Do(request)
			check.NoErr(err)
			_ = response.Body.Close()
			check.Equal(response.StatusCode, c.status)
		})
	}
}

type fakeReporter struct{}

func (fakeReporter) Ready() (bool, verdict.Reason) { return false, verdict.ZoneOut }
func (fakeReporter) Status() Status                { return Status{Instance: "e1"} }
func (fakeReporter) Burn() any                     { return struct{}{} }

// TestOperatorKey guards against paths of the operator interface that are readable without the key, and against health
// checks that need it.
func TestOperatorKey(t *testing.T) {
	metrics, err := telemetry.New("e1", "z1")
	is.New(t).NoErr(err)
	cases := map[string]struct {
		key, path, header string
		status            int
	}{
		"no key given":    {"secret", "/v1/status", "", 401},
		"wrong key":       {"secret", "/v1/status", "Bearer secre", 401},
		"not bearer":      {"secret", "/v1/status", "secret", 401},
		"right key":       {"secret", "/v1/status", "Bearer secret", 200},
		"metrics":         {"secret", "/metrics", "", 401},
		"metrics, key":    {"secret", "/metrics", "Bearer secret", 200},
		"empty key":       {"", "/v1/status", "Bearer ", 401},
		"health, no key":  {"secret", "/healthz", "", 200},
		"not ready, open": {"secret", "/readyz", "", 503},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			handler := NewOperatorServer(fakeReporter{}, metrics.Handler(), []byte(c.key)).Handler
			request := httptest.NewRequest(http.MethodGet, c.path, nil)
			request.Header.Set("Authorization", c.header)
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			check.Equal(recorder.Code, c.status)
		})
	}
}

// FuzzParseQuery guards against a panic, against the acceptance of a query outside the documented limits, and against a
// refusal that does not name a field.
func FuzzParseQuery(f *testing.F) {
	f.Add([]byte(`{"id":"q","deadline-millis":100,"query":{"bib":1},"shards":["a"],"ticket":"t"}`))
	f.Add([]byte(`{"id":1}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		query, refusal := ParseQuery(body)
		if refusal == nil && (query.ID == "" || len(query.ID) > 128 || query.DeadlineMillis <= 0 || !json.Valid(query.Query)) {
			t.Fatalf("accepted %q", body)
		}
		if refusal != nil && (refusal.Field == "" || refusal.Verdict != verdict.NotRun) {
			t.Fatalf("refusal of %q names no field", body)
		}
	})
}
