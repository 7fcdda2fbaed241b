package backend

// Measures the processor time of one call beside a plain net/http client. The server runs in a process of its
// own, so that the figure is the client's alone.

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/replica"
	"github.com/medlarlatch/medlarlatch/internal/standin"
)

const childVariable = "MEDLARLATCH_BENCH_SERVER"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		serveForBench()
		return
	}
	os.Exit(m.Run())
}

func serveForBench() {
	application := standin.Paddlemark(1)[0]
	application.ServiceMillis, application.ConnectMillis, application.Slots, application.Connections = 0, 0, 1000, 1000
	server, err := standin.Listen(standin.ServerOptions{
		ID: "bench", Service: "svc", Application: application, Seed: 1, Address: "127.0.0.1:0", Held: []uint64{1},
	})
	if err != nil {
		fmt.Println("error:", err)
		return
	}
	fmt.Println(server.Address())
	_, _ = io.Copy(io.Discard, os.Stdin) // ends with its parent
}

func startBenchServer(b *testing.B) string {
	b.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), childVariable+"=1")
	input, err := command.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = input.Close()
		_ = command.Wait()
	})
	address, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	return strings.TrimSpace(address)
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func systemTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Stime.Nano())
}

// BenchmarkCall reports the processor time of one call with 1 and 20 calls at a time, and of calls that start at a
// fixed rate. Those cost several times as much: the process idles between them, and each wakes its threads.
func BenchmarkCall(b *testing.B) {
	address := startBenchServer(b)
	// Paced calls come together after a stall of the machine, so the limit is far above what they need.
	transport := New(Options{Connections: func(fleet.Server) int { return 1000 }})
	defer transport.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 30}}
	server := fleet.Server{ID: "bench", Service: "svc", Address: address}
	call := replica.Call{RequestID: "request-0001", Service: "svc", Shard: "bibs-01-of-20", Version: 1, Query: []byte(`{"bib":20}`)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ways := map[string]func() error{
		"transport": func() error {
			call := call
			call.Deadline = time.Now().Add(time.Second)
			_, err := transport.Do(ctx, server, call)
			return err
		},
		"net-http": func() error {
			body := appendCall(nil, &call, time.Second)
			bounded, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			request, err := http.NewRequestWithContext(bounded, http.MethodPost, "http://"+address+"/v1/shard-query", bytes.NewReader(body))
			if err != nil {
				return err
			}
			response, err := client.Do(request)
			if err != nil {
				return err
			}
			defer func() { _ = response.Body.Close() }()
			answer, err := io.ReadAll(response.Body)
			if err != nil {
				return err
			}
			if _, failure, _ := parseAnswer(response.StatusCode, answer, &call); failure != nil {
				return failure
			}
			return nil
		},
	}
	for _, name := range []string{"transport", "net-http"} {
		for _, parallel := range []int{1, 20} {
			b.Run(fmt.Sprintf("%s/at-a-time=%d", name, parallel), func(b *testing.B) { measure(b, parallel, ways[name]) })
		}
		for _, rate := range []int{250, 1250} {
			b.Run(fmt.Sprintf("%s/per-second=%d", name, rate), func(b *testing.B) { measurePaced(b, rate, ways[name]) })
		}
	}
	// What the pace itself costs, to be taken off the figures of the others.
	b.Run("nothing/per-second=1250", func(b *testing.B) { measurePaced(b, 1250, func() error { return nil }) })
}

// measurePaced runs two seconds of calls; b.N does not change it.
func measurePaced(b *testing.B, rate int, way func() error) {
	var group sync.WaitGroup
	var failed atomic.Int64
	before, systemBefore := processorTime(), systemTime()
	started := time.Now()
	for n := range 2 * rate {
		time.Sleep(time.Until(started.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		group.Go(func() {
			if way() != nil {
				failed.Add(1)
			}
		})
	}
	group.Wait()
	if failed.Load() > 0 {
		b.Fatalf("%d of %d calls failed", failed.Load(), 2*rate)
	}
	after, systemAfter := processorTime(), systemTime()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(after-before)/1000/float64(2*rate), "cpu-µs/call")
	b.ReportMetric(float64(systemAfter-systemBefore)/1000/float64(2*rate), "system-µs/call")
}

func measure(b *testing.B, parallel int, way func() error) {
	failures := make(chan error, parallel)
	b.ReportAllocs()
	b.ResetTimer()
	before := processorTime()
	for range parallel {
		go func() {
			for range max(b.N/parallel, 1) {
				if err := way(); err != nil {
					failures <- err
					return
				}
			}
			failures <- nil
		}()
	}
	for range parallel {
		if err := <-failures; err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(processorTime()-before)/1000/float64(max(b.N/parallel, 1)*parallel), "cpu-µs/call")
}
