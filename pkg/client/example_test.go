package client_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net/http"
	"net/http/httptest"

	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/client"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// A non-idempotent request is sent with a ticket. The entry instance of the example closes the first connection without
// an answer, and refuses the request of another application because it is overloaded.
func Example() {
	entry := httptest.NewServer(exampleEntry())
	defer entry.Close()
	c, err := client.New(client.Settings{Entries: []string{entry.URL}}, rand.New(rand.NewSource(1)))
	if err != nil {
		fmt.Println(err)
		return
	}
	answer, err := c.Query(context.Background(), client.Request{
		Application: "corral-ledger", ID: "settle-17", Query: json.RawMessage(`{"corral":"north"}`),
	})
	fmt.Println(string(answer.Rows["north"]), err)

	_, err = c.Query(context.Background(), client.Request{Application: "handheld-tokens", ID: "family-3", Idempotent: true})
	if failure, ok := errors.AsType[*verdict.Error](err); ok {
		fmt.Println(failure.Verdict, failure.Reason, failure.RetryAfter)
	}
	// Output:
	// {"settled":12} <nil>
	// not-run overloaded 30s
}

func exampleEntry() http.Handler {
	connectionDropped := false
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tickets", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(api.Tickets{Tickets: []string{"t1-a", "t1-b"}, ValidMillis: 60_000})
	})
	mux.HandleFunc("POST /v1/applications/corral-ledger/query", func(w http.ResponseWriter, r *http.Request) {
		if !connectionDropped {
			connectionDropped = true
			panic(http.ErrAbortHandler)
		}
		var query api.Query
		_ = json.NewDecoder(r.Body).Decode(&query)
		_ = json.NewEncoder(w).Encode(api.Answer{
			ID: query.ID, Verdict: verdict.Ran, Rows: map[string]json.RawMessage{"north": json.RawMessage(`{"settled":12}`)},
		})
	})
	mux.HandleFunc("POST /v1/applications/handheld-tokens/query", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(api.Refusal{Verdict: verdict.NotRun, Reason: verdict.Overloaded, RetryAfterMillis: 30_000})
	})
	return mux
}
