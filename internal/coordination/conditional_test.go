package coordination_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/coordination"
	"github.com/medlarlatch/medlarlatch/internal/standin/inprocess"
	"github.com/medlarlatch/medlarlatch/internal/standin/instances"
)

// TestUnchangedList guards against fetching the whole list on every read, and against keeping the old list after it has
// changed.
func TestUnchangedList(t *testing.T) {
	is := is.New(t)
	entry := coordination.Instance{ID: "entry-1", Kind: "entry", Zone: "zone-a", PeerAddress: "10.0.0.1:1", OperatorAddress: "10.0.0.1:2", State: "live"}
	list := instances.New(entry)
	adapter := coordination.NewInstances("http://list", options(inprocess.Client(list)))
	leaving := func() bool {
		entries, _, err := adapter.List(t.Context())
		is.NoErr(err)
		is.Equal(len(entries), 1)
		return entries[0].Leaving
	}
	is.True(!leaving())
	is.True(!leaving())
	is.Equal(list.Calls()["unchanged"], uint64(1))
	entry.State = "leaving"
	list.Set(entry)
	is.True(leaving())
	is.Equal(list.Calls()["unchanged"], uint64(1))
	list.SetFaults(instances.Faults{Down: true})
	calls := list.Calls()["instances"]
	_, _, err := adapter.Poll(t.Context())
	is.True(err != nil)                          // the kept list does not hide an outage
	is.Equal(list.Calls()["instances"], calls+1) // and an outage causes no further calls
	list.SetFaults(instances.Faults{})
	is.True(leaving())
}

// TestUnusableListIsReadAgain guards against sending the entity tag of a list that could not be used: the next response
// would then be 304, and the old list would stay in use.
func TestUnusableListIsReadAgain(t *testing.T) {
	is := is.New(t)
	bodies := []string{
		`{"instances":[{"id":"a","kind":"entry","zone":"z","peers":"1.1.1.1:1","operators":"1.1.1.1:1","state":"live"}]}`,
		`{"instances":[{"id":"a","kind":"entry","zone":"z","state":"unknown"}]}`,
	}
	current := 0
	adapter := coordination.NewInstances("http://list", options(inprocess.Client(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		tag := fmt.Sprintf("%q", fmt.Sprint(current))
		w.Header().Set("ETag", tag)
		if request.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		fmt.Fprint(w, bodies[current])
	}))))
	_, _, err := adapter.List(t.Context())
	is.NoErr(err)
	current = 1
	for range 2 {
		_, _, err = adapter.List(t.Context())
		is.True(err != nil)
	}
	current = 0
	entries, _, err := adapter.List(t.Context())
	is.NoErr(err)
	is.Equal(len(entries), 1)
}
