package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/query"
	"github.com/medlarlatch/medlarlatch/internal/ticket"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkForwardedPart measures the CPU time of both ends together for each part that is sent over loopback, with a
// query and rows of about 200 bytes, from 8 concurrent coordinators.
func BenchmarkForwardedPart(b *testing.B) {
	for _, count := range []int{1, 5, 20} {
		b.Run(fmt.Sprintf("parts=%d", count), func(b *testing.B) { benchmarkParts(b, count) })
	}
}

func benchmarkParts(b *testing.B, count int) {
	addresses := make(map[fleet.InstanceID]string)
	rows := json.RawMessage(`[{"token":"` + string(sampleText()) + `"}]`)
	runner := immediateRunner{rows}
	from, to := listenTCP(b, addresses, "a", nil, Handlers{}), listenTCP(b, addresses, "b", nil, Handlers{Parts: runner})
	defer from.Close()
	defer to.Close()
	body := json.RawMessage(`{"family":"` + string(sampleText()) + `"}`)
	sendAndCollect(context.Background(), b, from, "b", testParts(1, time.Second))
	const coordinators = 8
	calls := max(1, b.N/count/coordinators)
	before := cpuTime()
	b.ResetTimer()
	var group sync.WaitGroup
	for coordinator := range coordinators {
		group.Go(func() {
			done := make(chan query.Result, count)
			parts := testParts(count, time.Minute)
			for call := range calls {
				for i := range parts {
					parts[i].Attempt = uint64(coordinator)<<40 | uint64(call*count+i+1)
					parts[i].Query = body
				}
				from.Send(context.Background(), "b", parts, func(result query.Result) { done <- result })
				for range parts {
					if result := <-done; result.Err != nil {
						panic(result.Err)
					}
				}
			}
		})
	}
	group.Wait()
	b.StopTimer()
	used := cpuTime() - before
	frames := from.Counts().ResultFrames
	b.ReportMetric(float64(calls*coordinators*count)/float64(frames), "results/frame")
	b.ReportMetric(float64(used.Microseconds())/float64(calls*coordinators*count), "cpu-µs/part")
}

// sampleText returns 180 bytes of text, which make a query or rows of about 200 bytes.
func sampleText() []byte {
	text := make([]byte, 180)
	for i := range text {
		text[i] = byte('a' + i%26)
	}
	return text
}

// immediateRunner delivers a result for each part before Run returns.
type immediateRunner struct{ rows json.RawMessage }

func (a immediateRunner) Run(_ context.Context, _ fleet.InstanceID, parts []query.Part, deliver func(query.Result)) {
	for _, part := range parts {
		result := resultFor(part)
		result.Rows = a.rows
		deliver(result)
	}
}

func (immediateRunner) Cancel(fleet.InstanceID, uint64) {}

// listenTCP starts a node on loopback and adds its address to addresses.
func listenTCP(t testing.TB, addresses map[fleet.InstanceID]string, name fleet.InstanceID, config *tls.Config, handlers Handlers) *Node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addresses[name] = listener.Addr().String()
	node, err := New(Settings{Instance: name, Key: []byte(testKey), Incarnation: ticket.Incarnation{1}, TLS: config}, handlers,
		func(id fleet.InstanceID) (string, bool) { return addresses[id], true }, &net.Dialer{}, rand.New(rand.NewSource(1)))
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = node.Serve(listener) }()
	return node
}

// TestTLS guards against a handshake without the configured TLS, on real connections.
func TestTLS(t *testing.T) {
	is := is.New(t)
	// The HTTP test server is used only for its certificate, which is valid for 127.0.0.1.
	certificateServer := httptest.NewTLSServer(nil)
	defer certificateServer.Close()
	rootCAs := x509.NewCertPool()
	rootCAs.AddCert(certificateServer.Certificate())
	config := &tls.Config{Certificates: certificateServer.TLS.Certificates, RootCAs: rootCAs}
	addresses := make(map[fleet.InstanceID]string)
	b := listenTCP(t, addresses, "b", config, Handlers{Parts: &stubRunner{}})
	a := listenTCP(t, addresses, "a", config, Handlers{})
	plain := listenTCP(t, addresses, "c", nil, Handlers{})
	distrusting := listenTCP(t, addresses, "d", &tls.Config{RootCAs: x509.NewCertPool()}, Handlers{})
	for _, node := range []*Node{a, b, plain, distrusting} {
		defer node.Close()
	}
	for attempt, result := range sendAndCollect(t.Context(), t, a, "b", testParts(5, 5*time.Second)) {
		is.Equal(result.Err, nil)
		is.True(attempt > 0)
	}
	requireVerdict(t, sendAndCollect(t.Context(), t, plain, "b", testParts(2, 5*time.Second)), 2, verdict.NotRun, verdict.PeerUnreachable)
	requireVerdict(t, sendAndCollect(t.Context(), t, distrusting, "b", testParts(2, 5*time.Second)), 2, verdict.NotRun, verdict.PeerUnreachable)
}
