package backend

// Compares the CPU time of one call with that of the same call by a plain net/http client. The server runs in a
// separate process, so that only the client's CPU time is counted.

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

const benchServerVariable = "MEDLARLATCH_BENCH_SERVER"

func TestMain(m *testing.M) {
	if os.Getenv(benchServerVariable) != "" {
		runBenchServer()
		return
	}
	os.Exit(m.Run())
}

func runBenchServer() {
	application := standin.Paddlemark(1)[0]
	application.ServiceMillis, application.ConnectMillis, application.Slots, application.Connections = 0, 0, 1000, 1000
	server, err := standin.Listen(standin.ServerOptions{
		ID: "bench", Service: "svc", Application: application, Seed: 1, Address: "127.0.0.1:0", HeldVersions: []uint64{1},
	})
	if err != nil {
		fmt.Println("error:", err)
		return
	}
	fmt.Println(server.Address())
	_, _ = io.Copy(io.Discard, os.Stdin) // Stdin is closed when the parent process ends.
}

func startBenchServer(b *testing.B) string {
	b.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), benchServerVariable+"=1")
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

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func systemCPUTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Stime.Nano())
}

// BenchmarkCall reports the CPU time of one call with 1 and 20 concurrent calls, and of calls that start at a fixed
// rate. The latter cost several times as much, because the process is idle between them and each call wakes its
// threads.
func BenchmarkCall(b *testing.B) {
	address := startBenchServer(b)
	// After a stall of the machine, many calls of a fixed-rate run start at once, so the limit is far above the usual
	// need.
	transport := New(Options{Connections: func(fleet.Server) int { return 1000 }})
	defer transport.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 30}}
	server := fleet.Server{ID: "bench", Service: "svc", Address: address}
	call := replica.Call{RequestID: "request-0001", Service: "svc", Shard: "bibs-01-of-20", Version: 1, Query: []byte(`{"bib":20}`)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	implementations := map[string]func() error{
		"transport": func() error {
			call := call
			call.Deadline = time.Now().Add(time.Second)
			_, err := transport.Do(ctx, server, call)
			return err
		},
		"net-http": func() error {
			body := appendCallBody(nil, &call, time.Second)
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
			content, err := io.ReadAll(response.Body)
			if err != nil {
				return err
			}
			if _, failure, _ := parseResponse(response.StatusCode, content, &call); failure != nil {
				return failure
			}
			return nil
		},
	}
	for _, name := range []string{"transport", "net-http"} {
		for _, parallel := range []int{1, 20} {
			b.Run(fmt.Sprintf("%s/at-a-time=%d", name, parallel), func(b *testing.B) { measureParallel(b, parallel, implementations[name]) })
		}
		for _, rate := range []int{250, 1250} {
			b.Run(fmt.Sprintf("%s/per-second=%d", name, rate), func(b *testing.B) { measureRate(b, rate, implementations[name]) })
		}
	}
	// The cost of starting calls at a fixed rate, to be subtracted from the other results.
	b.Run("nothing/per-second=1250", func(b *testing.B) { measureRate(b, 1250, func() error { return nil }) })
}

// measureRate starts calls at the given rate per second for two seconds, regardless of b.N.
func measureRate(b *testing.B, rate int, call func() error) {
	var group sync.WaitGroup
	var failed atomic.Int64
	before, systemBefore := cpuTime(), systemCPUTime()
	started := time.Now()
	for n := range 2 * rate {
		time.Sleep(time.Until(started.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		group.Go(func() {
			if call() != nil {
				failed.Add(1)
			}
		})
	}
	group.Wait()
	if failed.Load() > 0 {
		b.Fatalf("%d of %d calls failed", failed.Load(), 2*rate)
	}
	after, systemAfter := cpuTime(), systemCPUTime()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(after-before)/1000/float64(2*rate), "cpu-µs/call")
	b.ReportMetric(float64(systemAfter-systemBefore)/1000/float64(2*rate), "system-µs/call")
}

func measureParallel(b *testing.B, parallel int, call func() error) {
	failures := make(chan error, parallel)
	b.ReportAllocs()
	b.ResetTimer()
	before := cpuTime()
	for range parallel {
		go func() {
			for range max(b.N/parallel, 1) {
				if err := call(); err != nil {
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
	b.ReportMetric(float64(cpuTime()-before)/1000/float64(max(b.N/parallel, 1)*parallel), "cpu-µs/call")
}
