package coordination_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/medlarlatch/medlarlatch/internal/coordination"
	"github.com/medlarlatch/medlarlatch/internal/standin/inprocess"
)

// makeInstanceList returns an instance list with this many replicas and a proportional number of entry instances: 5,200
// for 44,000 replicas.
func makeInstanceList(replicas int) coordination.InstanceList {
	var list coordination.InstanceList
	add := func(i int, instance coordination.Instance) {
		instance.Zone, instance.Region, instance.State = fmt.Sprint("zone-", i%12), fmt.Sprint("region-", i%4), coordination.StateLive
		list.Instances = append(list.Instances, instance)
	}
	for i := range replicas {
		add(i, coordination.Instance{ID: fmt.Sprint("server-", i), Kind: coordination.KindBackendServer, Service: fmt.Sprint("bib-index-", i/2), Address: fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250)})
	}
	for i := range replicas * 5200 / 44000 {
		address := fmt.Sprintf("10.%d.%d.2:7000", i/250, i%250)
		add(i, coordination.Instance{ID: fmt.Sprint("entry-", i), Kind: coordination.KindEntry, PeerAddress: address, OperatorAddress: address})
	}
	return list
}

// BenchmarkInstanceList measures one read of the instance list without the network: its bytes, and the time to decode
// and validate it. "unchanged" is a read with the entity tag of the last list.
func BenchmarkInstanceList(b *testing.B) {
	for _, replicas := range []int{1000, 5000, 15000, 44000} {
		b.Run(fmt.Sprint("whole/", replicas), func(b *testing.B) { benchmarkRead(b, replicas, "") })
		b.Run(fmt.Sprint("unchanged/", replicas), func(b *testing.B) { benchmarkRead(b, replicas, `"1"`) })
	}
}

func benchmarkRead(b *testing.B, replicas int, tag string) {
	body, err := json.Marshal(makeInstanceList(replicas))
	if err != nil {
		b.Fatal(err)
	}
	adapter := coordination.NewInstances("http://list", options(inprocess.Client(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if tag != "" && request.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("ETag", tag)
		_, _ = w.Write(body)
	}))))
	if _, _, err := adapter.List(context.Background()); err != nil { // gets the tag for the next requests
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := adapter.List(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(body)), "list-B")
}
