package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var (
	started    = time.Now()
	recordLock sync.Mutex
	recordFile *os.File
	trouble    = os.Getenv("TROUBLE") != "0"
	folder     string // temporary folder of this run
)

// record writes one line, with the seconds since the start, to record.txt.
func record(format string, args ...any) {
	recordLock.Lock()
	defer recordLock.Unlock()
	fmt.Fprintf(recordFile, "%8.3f %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
}

// verdictLine writes to record.txt and to standard output.
func verdictLine(format string, args ...any) {
	record(format, args...)
	fmt.Printf(format+"\n", args...)
}

// fatal ends the run with 2: the case could not run.
func fatal(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		exit(2)
	}
}

var (
	instancesLock sync.Mutex
	instances     []*instance
)

// exit ends all processes that this run started, and then the run.
func exit(code int) {
	instancesLock.Lock()
	for _, i := range instances {
		i.lock.Lock()
		i.stopped = true
		if i.command != nil {
			_ = i.command.Process.Kill()
		}
		i.lock.Unlock()
	}
	for _, i := range instances {
		i.lock.Lock()
		ended := i.ended
		i.lock.Unlock()
		if ended != nil {
			<-ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	}
	os.Exit(code)
}

// replica is a sound replica of a service.
type replica struct {
	id, service, zone, address string
	work                       time.Duration
	sequence                   int
	born                       int64
	state                      atomic.Value
	seals                      atomic.Int64
	// failShare is the share of the requests that it fails with 500 after it ran them.
	failShare atomic.Int64 // in thousandths
	onArrival func(r *replica, id string)
}

func newReplica(id, service, zone string, work time.Duration, onArrival func(*replica, string)) *replica {
	r := &replica{id: id, service: service, zone: zone, work: work, born: time.Now().UnixMilli(), onArrival: onArrival}
	r.state.Store("ready")
	listener := listen()
	r.address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { fatal(server.Serve(listener)) }()
	return r
}

func (r *replica) serve(w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get("X-Medlarlatch-Request-Id")
	w.Header().Set("X-Medlarlatch-Request-Id", id)
	if request.URL.Path == "/health" {
		w.Header().Set("X-Medlarlatch-Instance-Id", r.id)
		return
	}
	if request.Header.Get("X-Medlarlatch-Target-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.onArrival(r, id)
	work := time.Duration(float64(r.work) * (0.75 + 0.5*rand.Float64()))
	select {
	case <-time.After(work):
	case <-request.Context().Done():
		return
	}
	w.Header().Set("X-Medlarlatch-Server-Seal", fmt.Sprintf("%s.%d", r.id, r.seals.Add(1)))
	if rand.Int64N(1000) < r.failShare.Load() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	body := make([]byte, 16*8)
	for i := range body {
		body[i] = byte(rand.IntN(256))
	}
	_, _ = w.Write(body)
}

func (r *replica) entry() (key, value string) {
	r.sequence++
	return "servers/" + r.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","max_concurrent":8,"state":%q,"cold_remaining_ms":0,"sequence":%d,"born":%d}`,
		r.service, r.address, r.zone, r.state.Load(), r.sequence, r.born)
}

// beat writes the entry of each replica every heartbeat_ms.
func beat(s *store, replicas []*replica) {
	for n, r := range replicas {
		s.put(r.entry())
		go func() {
			time.Sleep(1200 * time.Millisecond / time.Duration(len(replicas)) * time.Duration(n))
			for range time.Tick(1200 * time.Millisecond) {
				s.put(r.entry())
			}
		}()
	}
}

// instance is one entry process, as the deploy file starts it.
type instance struct {
	name, zone, front, ready, settings string
	metrics                            string
	memoryMB                           int
	lock                               sync.Mutex
	command                            *exec.Cmd
	ended                              chan struct{}
	stopped                            bool
	starts                             int
}

// freePort returns a port that is free, below those that the kernel gives to outgoing connections.
func freePort() string {
	for {
		port := strconv.Itoa(10000 + rand.IntN(20000))
		listener, err := net.Listen("tcp", "127.0.0.1:"+port)
		if err != nil {
			continue
		}
		_ = listener.Close()
		if !usedPorts[port] {
			usedPorts[port] = true
			return port
		}
	}
}

var usedPorts = map[string]bool{}

// newInstance writes the settings file of an instance, with the fields of a small deployment.
func newInstance(number int, zone, storeAddress string, memoryMB int, first bool) *instance {
	i := &instance{name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone, memoryMB: memoryMB}
	i.front, i.ready, i.metrics = "127.0.0.1:"+freePort(), "127.0.0.1:"+freePort(), freePort()
	peers := freePort()
	i.settings = filepath.Join(folder, i.name+".conf")
	text := strings.Join([]string{
		"node_name=" + i.name, "role=entry", "machine_class=front", "serves=front", "ip=127.0.0.1", "zone=" + zone, "region=lima",
		"zones.lima-a=lima", "zones.lima-b=lima", "zones.lima-c=lima",
		"bind_addresses.front=" + i.front, "bind_addresses.ready=" + i.ready, "internal_port_range=" + peers + "," + peers,
		"bootstrap=" + strconv.FormatBool(first), "limits.cpu_share=0.608", "limits.cpu_cores=1", fmt.Sprintf("limits.memory_mb=%d", memoryMB), "limits.max_fds=4100",
		"limits.link_mbps=1000.0", "discovery=platform", "entry=vip", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,scatter,places,platform",
		"bounds.reuse_after_s=2", "bounds.stable_window_ms=4000", "bounds.drain_ms=3000", "bounds.grace_s=6", "bounds.loss_slack_ms=200",
		"bounds.config_apply_ms=3000", "bounds.downgrade_slack_ms=250", "bounds.retry_budget_ratio=0.2", "bounds.retry_window_s=10",
		"bounds.retry_budget_extra=52", "bounds.cold_rate_factor=1.5", "bounds.cold_tolerance=5", "bounds.evacuation_ms=5000", "bounds.recovery_s=12",
		"platform.address=" + storeAddress, "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
		"platform.max_value_bytes=1048576", "platform.min_ttl_ms=1000", "",
	}, "\n")
	fatal(os.WriteFile(i.settings, []byte(text), 0o644))
	instancesLock.Lock()
	instances = append(instances, i)
	instancesLock.Unlock()
	return i
}

// start starts the process. When it ends, the platform starts it again after a short delay.
func (i *instance) start() {
	i.lock.Lock()
	defer i.lock.Unlock()
	if i.stopped {
		return
	}
	i.starts++
	if i.starts == 2 { // bootstrap is true only when the whole system starts for the first time
		i.replaceSetting("bootstrap=true", "bootstrap=false")
	}
	log, err := os.Create(filepath.Join(folder, fmt.Sprintf("%s.%d.log", i.name, i.starts)))
	fatal(err)
	i.command = exec.Command("target/medlarlatch", "entry", "--metrics-port", i.metrics)
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "LANG=C", "MEDLARLATCH_BOOT=" + i.settings}
	i.command.Stdout, i.command.Stderr = log, log
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	fatal(i.command.Start())
	record("platform %s starts, pid %d", i.name, i.command.Process.Pid)
	ended, command := make(chan struct{}), i.command
	i.ended = ended
	go func() {
		err := command.Wait()
		_ = log.Close()
		record("platform %s ended: %v", i.name, err)
		close(ended)
		time.Sleep(restartDelay)
		i.start()
	}()
}

// restartDelay is the platform's short delay before it restarts a process that ended.
const restartDelay = 500 * time.Millisecond

func (i *instance) kill() {
	i.lock.Lock()
	command, ended := i.command, i.ended
	i.lock.Unlock()
	record("platform %s gets SIGKILL", i.name)
	_ = command.Process.Kill()
	<-ended
}

func (i *instance) residentMB() float64 {
	i.lock.Lock()
	pid := i.command.Process.Pid
	i.lock.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb / 1024
		}
	}
	return 0
}

func (i *instance) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + i.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func awaitReady(all []*instance) {
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range all {
			if i.isReady() {
				ready++
			}
		}
		if ready == len(all) {
			return
		}
		if time.Now().After(end) {
			fatal(fmt.Errorf("instances not ready within 10 s"))
		}
	}
}

// answer is what a requester got.
type answer struct {
	status int
	header http.Header
	body   []byte
	// kept is set if the request went over a connection that had carried another one.
	kept bool
	err  error
}

// caller is one requester with one kept connection.
type caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	used    bool
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// do sends one request and waits for its answer. It never repeats the request.
func (c *caller) do(method, host, path, id string, budget time.Duration, body []byte) (a answer) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	}
	a.kept = c.used
	var message bytes.Buffer
	fmt.Fprintf(&message, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Medlarlatch-Request-Id: %s\r\nX-Medlarlatch-Request-Deadline: %d\r\n", method, path, host, id, budget.Milliseconds())
	if method == http.MethodPost {
		fmt.Fprintf(&message, "Content-Length: %d\r\n", len(body))
	}
	message.WriteString("\r\n")
	message.Write(body)
	_ = c.conn.SetDeadline(time.Now().Add(budget + time.Second))
	if _, a.err = c.conn.Write(message.Bytes()); a.err != nil {
		c.close()
		return a
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.close()
		a.err = err
		return a
	}
	a.status, a.header = response.StatusCode, response.Header
	if a.body, a.err = io.ReadAll(response.Body); a.err != nil {
		c.close()
		return a
	}
	c.used = true
	if response.Close {
		c.close()
	}
	return a
}

var requestNumber atomic.Int64

func newID() string { return fmt.Sprintf("%016x", uint64(requestNumber.Add(1))|0x9c41<<48) }

func (i *instance) signal(number syscall.Signal) {
	i.lock.Lock()
	defer i.lock.Unlock()
	record("platform %s gets %v", i.name, number)
	fatal(i.command.Process.Signal(number))
}

// memoryWatch is the platform's limit on the memory of a process: one that exceeds it is killed.
type memoryWatch struct {
	lock  sync.Mutex
	kills map[string]int
}

func (m *memoryWatch) count() int {
	m.lock.Lock()
	defer m.lock.Unlock()
	return len(m.kills)
}

func watchMemory(all []*instance) *memoryWatch {
	m := &memoryWatch{kills: map[string]int{}}
	for _, i := range all {
		go func() {
			for tick := 0; ; tick++ {
				resident := i.residentMB()
				if tick%250 == 0 {
					record("memory   %s %.1f MB", i.name, resident)
				}
				if resident > float64(i.memoryMB) {
					verdictLine("memory   at %.1f s %s holds %.1f MB, its limit is %d MB: ended by the platform", time.Since(started).Seconds(), i.name, resident, i.memoryMB)
					m.lock.Lock()
					m.kills[i.name]++
					m.lock.Unlock()
					i.kill()
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	return m
}

// crowd is the requesters of a run, each with one kept connection to its instance.
type crowd struct {
	lock    sync.Mutex
	running sync.WaitGroup
	ran     map[string]string // the service that ran a request
	served  int
	// lost counts, for each instance, the requests on kept connections that were passed on to a replica and whose
	// connection was closed without an answer.
	lost map[string]int
	// onAnswer, if set, is called with each success.
	onAnswer func(sent time.Time, at *instance, service string)
	end      time.Time
}

func newCrowd() *crowd { return &crowd{ran: map[string]string{}, lost: map[string]int{}} }

func (k *crowd) arrived(r *replica, id string) {
	k.lock.Lock()
	k.ran[id] = r.service
	k.lock.Unlock()
	record("replica  %s of %s runs %s", r.id, r.service, id)
}

func (k *crowd) until() time.Time {
	k.lock.Lock()
	defer k.lock.Unlock()
	return k.end
}

// start starts requesters at each instance, which end at the given time.
func (k *crowd) start(all []*instance, each int, pause time.Duration, end time.Time) {
	k.end = end
	for n := range each * len(all) {
		i := all[n%len(all)]
		k.running.Go(func() {
			c := &caller{address: i.front}
			defer c.close()
			for time.Now().Before(k.until()) {
				id, sent := newID(), time.Now()
				a := c.do("GET", "pupu76.example", "/lot/"+id, id, 4*time.Second, nil)
				k.lock.Lock()
				service := k.ran[id]
				delete(k.ran, id)
				switch {
				case a.err == nil:
					record("caller   %s at %s: %d, run by %s", id, i.name, a.status, service)
					if a.status == http.StatusOK {
						k.served++
						if k.onAnswer != nil {
							k.onAnswer(sent, i, service)
						}
					}
				case a.kept && service != "":
					k.lost[i.name]++
					record("caller   %s at %s: passed on to %s, connection closed without an answer: %v", id, i.name, service, a.err)
				default:
					record("caller   %s at %s: %v", id, i.name, a.err)
				}
				k.lock.Unlock()
				if a.err != nil {
					time.Sleep(300 * time.Millisecond)
				}
				time.Sleep(pause)
			}
		})
	}
}

// judgeLost ends the run with the verdict on the rule LOST, for the given instances.
func (k *crowd) judgeLost(judged []*instance) {
	k.lock.Lock()
	defer k.lock.Unlock()
	for _, i := range judged {
		if k.lost[i.name] > 3 {
			verdictLine("result   LOST is broken at %s", i.name)
			exit(1)
		}
	}
	verdictLine("result   the rule held")
	exit(0)
}

// replaceSetting replaces a line of the settings file.
func (i *instance) replaceSetting(former, line string) {
	text, err := os.ReadFile(i.settings)
	fatal(err)
	next := i.settings + ".next"
	fatal(os.WriteFile(next, []byte(strings.Replace(string(text), former+"\n", line+"\n", 1)), 0o644))
	fatal(os.Rename(next, i.settings))
	record("platform settings of %s: %s", i.name, line)
}
