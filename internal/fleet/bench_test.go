package fleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkHeartbeat measures the processor time of a Membership for one answered heartbeat and the memory that it
// holds for the known entry instances.
func BenchmarkHeartbeat(b *testing.B) {
	for _, count := range []int{4, 64, 512, 5200} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var entries []Entry
			for i := range count {
				zones := max(1, min(12, count/4))
				entries = append(entries, Entry{ID: InstanceID(fmt.Sprint("entry-", i)), Zone: ZoneID(fmt.Sprint("zone-", i%zones)), Region: "r", PeerAddress: "10.0.0.1:7000"})
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			m := NewMembership(entries[0])
			now := time.Unix(1000, 0)
			m.ApplyInstanceList(now, entries, nil)
			runtime.GC()
			runtime.ReadMemStats(&after)
			peers, _ := m.BeginRound(now)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if i%len(peers) == 0 {
					now = now.Add(HeartbeatInterval)
					m.BeginRound(now)
				}
				m.HeartbeatAnswered(now, HeartbeatResponse{From: peers[i%len(peers)], Sent: now, Acknowledged: true})
				i++
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "state-B")
		})
	}
}

// BenchmarkListed measures the processing of an instance list that contains no change.
func BenchmarkListed(b *testing.B) {
	for _, count := range []int{1000, 5000, 15000, 44000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			servers := make([]Server, count)
			for i := range servers {
				servers[i] = Server{ID: ServerID(fmt.Sprint("server-", i)), Service: "x", Zone: "z", Address: "10.0.0.1:1"}
			}
			m := NewMembership(Entry{ID: "e0", Zone: "z"})
			m.ApplyInstanceList(time.Unix(1000, 0), nil, servers)
			b.ReportAllocs()
			for b.Loop() {
				m.ApplyInstanceList(time.Unix(1001, 0), nil, servers)
			}
		})
	}
}
