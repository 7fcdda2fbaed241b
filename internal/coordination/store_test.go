package coordination_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/coordination"
	"github.com/medlarlatch/medlarlatch/internal/standin/inprocess"
	"github.com/medlarlatch/medlarlatch/internal/standin/instances"
	"github.com/medlarlatch/medlarlatch/internal/standin/store"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

func options(client *http.Client) coordination.Options {
	return coordination.Options{Client: client, Timeout: time.Second, Random: rand.New(rand.NewPCG(1, 2))}
}

// respondWith returns a handler that gives the same response to every request.
func respondWith(status int, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	})
}

// refusingTransport is a transport whose connections are refused.
type refusingTransport struct{}

func (refusingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
}

// TestWriteOutcome guards against reporting that a write did not take effect when it may have.
func TestWriteOutcome(t *testing.T) {
	cases := map[string]struct {
		client *http.Client
		want   string
	}{
		"written":             {inprocess.Client(store.New()), "written 1"},
		"conflict":            {inprocess.Client(respondWith(409, `{"revision":7}`)), "conflict 7"},
		"conflict, no body":   {inprocess.Client(respondWith(409, "")), "conflict 0"},
		"not found":           {inprocess.Client(respondWith(404, "")), "not-run"},
		"server error":        {inprocess.Client(respondWith(500, "")), "may-have-run"},
		"unavailable":         {inprocess.Client(respondWith(503, "")), "may-have-run"},
		"unreadable answer":   {inprocess.Client(respondWith(200, "{")), "may-have-run"},
		"impossible revision": {inprocess.Client(respondWith(200, `{"revision":0}`)), "may-have-run"},
		"no connection":       {&http.Client{Transport: refusingTransport{}}, "not-run"},
		"reply lost": {inprocess.Client(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		})), "may-have-run"},
		"no reply in time": {inprocess.Client(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			<-request.Context().Done()
		})), "may-have-run"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				adapter := coordination.NewStore("http://store", options(tc.client))
				revision, err := adapter.CompareAndSwap(t.Context(), configuration.CatalogueKey, []byte("x"), 0)
				got := fmt.Sprint("written ", revision)
				if conflict, ok := errors.AsType[*configuration.ConflictError](err); ok {
					got = fmt.Sprint("conflict ", conflict.Current)
				} else if err != nil {
					got = verdict.Of(err).String()
				}
				is := is.New(t)
				is.Equal(got, tc.want)
				is.Equal(adapter.Calls()["put"], uint64(1)) // a write is sent once
			})
		})
	}
}

// TestReads guards against reads without a time limit, and against calls that are not counted.
func TestReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := store.New()
		adapter := coordination.NewStore("http://store/", options(inprocess.Client(s)))
		missing, err := adapter.Get(t.Context(), "medlarlatch/configuration")
		is.NoErr(err)
		is.Equal(missing.Revision, uint64(0))
		is.Equal(adapter.Calls()["get"], uint64(1)) // a missing key is an answer and not retried

		s.Put("medlarlatch/index/search", "{}")
		s.Put("other/key", "x")
		s.Put("medlarlatch/configuration", "one")
		found, err := adapter.Watch(t.Context(), "medlarlatch/", 0, 0)
		is.NoErr(err)
		is.Equal(len(found), 2)
		is.Equal(string(found[1].Text), "one")

		start := time.Now()
		time.AfterFunc(3*time.Second, func() { s.Put("medlarlatch/configuration", "two") })
		found, err = adapter.Watch(t.Context(), "medlarlatch/", 3, 10*time.Second)
		is.NoErr(err)
		is.Equal(string(found[0].Text), "two")
		is.Equal(time.Since(start), 3*time.Second)
		is.Equal(s.Calls()["watch"], uint64(2)) // a watch that waits is a single call

		s.SetFaults(store.Faults{SlowMillis: 60_000})
		start = time.Now()
		_, err = adapter.Get(t.Context(), "medlarlatch/configuration")
		is.Equal(verdict.Of(err), verdict.NotRun)
		is.Equal(adapter.Calls()["get"], uint64(4))
		is.True(time.Since(start) < 4*time.Second)
		time.Sleep(time.Minute)
	})
}

// TestInstances guards against using part of the list as the fleet, and against a stand-in of the list that does not
// lag.
func TestInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		entry := coordination.Instance{ID: "entry-1", Kind: "entry", Zone: "zone-a", PeerAddress: "10.0.0.1:1", OperatorAddress: "10.0.0.1:2", State: "live"}
		server := coordination.Instance{ID: "bib-1", Kind: "backend-server", Zone: "zone-a", Address: "10.0.0.2:1", Service: "bib", State: "leaving"}
		list := instances.New(entry, server)
		adapter := coordination.NewInstances("http://list", options(inprocess.Client(list)))
		entries, servers, err := adapter.List(t.Context())
		is.NoErr(err)
		is.Equal(entries[0].OperatorAddress, "10.0.0.1:2")
		is.True(servers[0].Leaving)

		list.SetFaults(instances.Faults{LagMillis: 2000})
		list.Set(entry)
		time.Sleep(1900 * time.Millisecond)
		_, servers, _ = adapter.List(t.Context())
		is.Equal(len(servers), 1)
		time.Sleep(200 * time.Millisecond)
		_, servers, _ = adapter.List(t.Context())
		is.Equal(len(servers), 0)

		server.Address = "elsewhere"
		list.SetFaults(instances.Faults{})
		list.Set(entry, server)
		_, _, err = adapter.List(t.Context())
		is.True(err != nil)
	})
}

// FuzzResponses guards against a panic on any response of the platform, and against results that break the contract of
// configuration.Store.
func FuzzResponses(f *testing.F) {
	f.Add(200, `{"entries":[{"key":"medlarlatch/configuration","value":"x","revision":3}]}`)
	f.Add(200, `{"key":"medlarlatch/configuration","value":"x","revision":3}`)
	f.Add(200, `{"instances":[{"id":"a","kind":"entry","zone":"z","peers":"1.1.1.1:1","operators":"1.1.1.1:1","state":"live"}]}`)
	f.Add(409, `{"revision":18446744073709551615}`)
	f.Fuzz(func(t *testing.T, status int, body string) {
		if status < 200 || status > 599 {
			return
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		adapter := coordination.NewStore("http://store", options(inprocess.Client(respondWith(status, body))))
		if found, err := adapter.Get(ctx, configuration.CatalogueKey); err == nil && found.Key != configuration.CatalogueKey {
			t.Fatalf("got %q", found.Key)
		}
		documents, _ := adapter.Watch(ctx, configuration.KeyPrefix, 2, 0)
		last := uint64(2)
		for _, document := range documents {
			if document.Revision <= last {
				t.Fatalf("revision %d after %d", document.Revision, last)
			}
			last = document.Revision
		}
		if revision, err := adapter.CompareAndSwap(ctx, configuration.CatalogueKey, nil, 2); err == nil && (status != 200 || revision <= 2) {
			t.Fatalf("status %d taken as written at %d", status, revision)
		}
		var list coordination.InstanceList
		if json.Unmarshal([]byte(body), &list) == nil {
			entries, servers, err := list.Split()
			if err == nil && len(entries)+len(servers) != len(list.Instances) {
				t.Fatal("lines of the list are missing")
			}
		}
	})
}

// TestControl guards against stand-ins whose faults cannot be changed while they run, and against ones that ignore a
// misspelt fault.
func TestControl(t *testing.T) {
	is := is.New(t)
	for faults, handler := range map[string]http.Handler{`{"down":true}`: store.New(), `{"lag-millis":5}`: instances.New()} {
		client := inprocess.Client(handler)
		request, err := http.NewRequest(http.MethodPut, "http://standin/control/faults", strings.NewReader(faults))
		is.NoErr(err)
		response, err := client.Do(request)
		is.NoErr(err)
		is.Equal(response.StatusCode, 200)
		request, err = http.NewRequest(http.MethodPut, "http://standin/control/faults", strings.NewReader(`{"unknown":1}`))
		is.NoErr(err)
		response, err = client.Do(request)
		is.NoErr(err)
		is.Equal(response.StatusCode, 400)
	}
}
