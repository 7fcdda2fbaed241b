package rig2

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of every machine; each machine has a loopback address of its own.
const (
	frontPort, readyPort, metricsPort = "8104", "8108", "9464"
	firstInternalPort                 = "7380"
)

// Instance is one machine with an entry instance.
type Instance struct {
	Name, Zone, IP string
	binary, folder string
	settings       string
	record         *Record
	mutex          sync.Mutex
	command        *exec.Cmd
	ended          chan struct{}
	missed         atomic.Int32
	stopped        atomic.Bool
	// Client is a requester's client with kept connections to this instance only.
	Client *http.Client
}

// NewInstance prepares a machine with the settings of the small deployments.
func NewInstance(name, zone, ip, binary, folder, store string, more ...string) (*Instance, error) {
	for _, port := range []string{frontPort, readyPort, metricsPort, firstInternalPort} {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, port))
		if err != nil {
			return nil, err
		}
		_ = listener.Close()
	}
	text := strings.Join(append([]string{
		"node_name=" + name, "role=entry", "machine_class=front", "serves=front", "ip=" + ip, "zone=" + zone, "region=tungurahua",
		"zones.banos-yard=tungurahua", "zones.runtun-corral=tungurahua", "zones.pondoa-corral=tungurahua",
		"bind_addresses.front=" + net.JoinHostPort(ip, frontPort), "bind_addresses.ready=" + net.JoinHostPort(ip, readyPort),
		"internal_port_range=7380,7395", "bootstrap=true", "in_tolerance=false",
		"limits.cpu_share=0.608", "limits.cpu_cores=1", "limits.memory_mb=414", "limits.max_fds=6150", "limits.link_mbps=1500.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200", "contracts=base,drain,config,cost,retry,recover,scatter,places,platform",
		"fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.stable_window_ms=4000", "bounds.ack_ms=5000", "bounds.catch_up_s=4",
		"bounds.drain_ms=3000", "bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=3000", "bounds.downgrade_slack_ms=250",
		"bounds.max_stretch_ms=12000", "bounds.retry_budget_ratio=0.2", "bounds.retry_window_s=10", "bounds.retry_budget_extra=56",
		"bounds.cold_rate_factor=1.5", "bounds.cold_tolerance=5", "bounds.evacuation_ms=5000", "bounds.recovery_s=12",
		"platform.address=" + store, "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
		"platform.max_value_bytes=1048576", "platform.min_ttl_ms=1000",
	}, more...), "\n") + "\n"
	path := filepath.Join(folder, name+".conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return &Instance{
		Name: name, Zone: zone, IP: ip, binary: binary, folder: folder, settings: path,
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}},
	}, nil
}

// Start starts the process with the command of the deploy file.
func (i *Instance) Start(record *Record) error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.record = record
	log, err := os.OpenFile(filepath.Join(i.folder, i.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.command = exec.Command(i.binary, "entry", "--metrics-port", metricsPort)
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + i.folder, "MEDLARLATCH_BOOT=" + i.settings}
	i.command.Stdout, i.command.Stderr = log, log
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.command.Start(); err != nil {
		return err
	}
	i.ended = make(chan struct{})
	command, ended := i.command, i.ended
	go func() {
		err := command.Wait()
		_ = log.Close()
		record.Line("process of %s ended: %v", i.Name, err)
		close(ended)
	}()
	record.Line("process of %s started", i.Name)
	return nil
}

// Signal sends a signal to the process.
func (i *Instance) Signal(signal syscall.Signal) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.command != nil && i.command.Process != nil {
		_ = i.command.Process.Signal(signal)
	}
}

// Ended returns a channel that is closed when the process has ended.
func (i *Instance) Ended() <-chan struct{} {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.ended
}

// ChangeSetting writes the settings file anew with another value of a field.
func (i *Instance) ChangeSetting(name, value string) error {
	text, err := os.ReadFile(i.settings)
	if err != nil {
		return err
	}
	lines := strings.Split(string(text), "\n")
	for n, line := range lines {
		if strings.HasPrefix(line, name+"=") {
			lines[n] = name + "=" + value
		}
	}
	path := i.settings + ".new"
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		return err
	}
	return os.Rename(path, i.settings)
}

// grace is bounds.grace_s, the time from SIGTERM to SIGKILL.
const grace = 6 * time.Second

// Restart stops the process as the platform does, and starts it again. The settings say that the whole system starts for
// the first time only before the first start.
func (i *Instance) Restart(record *Record) error {
	ended := i.Ended()
	i.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		i.Signal(syscall.SIGKILL)
		<-ended
	}
	i.Client.CloseIdleConnections()
	if err := i.ChangeSetting("bootstrap", "false"); err != nil {
		return err
	}
	return i.Start(record)
}

// Stop ends the process and the readiness checks.
func (i *Instance) Stop() {
	if i.stopped.Swap(true) || i.Ended() == nil {
		return
	}
	i.Signal(syscall.SIGCONT)
	i.Signal(syscall.SIGKILL)
	<-i.Ended()
}

// IsReady asks once for the readiness, as the platform does.
func (i *Instance) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + net.JoinHostPort(i.IP, readyPort) + "/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// WatchReadiness asks for the readiness once a second; two misses take the machine out of rotation.
func (i *Instance) WatchReadiness() {
	go func() {
		for !i.stopped.Load() {
			if i.IsReady() {
				i.missed.Store(0)
			} else {
				i.missed.Add(1)
			}
			time.Sleep(time.Second)
		}
	}()
}

// InRotation reports whether the platform sends new connections to the machine.
func (i *Instance) InRotation() bool { return i.missed.Load() < 2 }

// Front returns the address for requesters.
func (i *Instance) Front() string { return net.JoinHostPort(i.IP, frontPort) }

// WaitReady waits until all instances are ready.
func WaitReady(instances []*Instance, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range instances {
			if i.IsReady() {
				ready++
			}
		}
		if ready == len(instances) {
			return nil
		}
	}
	return fmt.Errorf("not all instances are ready within %s", within)
}
