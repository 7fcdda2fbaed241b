package rig2

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ErrBroken is returned by a case whose rule was broken.
var ErrBroken = errors.New("the rule was broken")

// Zones of the small deployment, and the machines of each.
var (
	Zones        = []string{"banos-yard", "runtun-corral", "pondoa-corral"}
	machineZones = []string{"banos-yard", "banos-yard", "runtun-corral", "pondoa-corral"}
)

// Scene is a small deployment: the store, the replicas and four entry instances.
type Scene struct {
	Trouble   bool
	Record    *Record
	Store     *Store
	Instances []*Instance
	folder    string
	mutex     sync.Mutex
	replicas  map[string][]*Replica
}

// Main runs a case: it writes record.txt to the folder named by the first argument and exits with 0, 1 or 2.
func Main(run func(s *Scene) error) {
	os.Exit(execute(run))
}

func execute(run func(s *Scene) error) int {
	if len(os.Args) != 3 {
		fmt.Println("usage: CASE FOLDER PROGRAM")
		return 2
	}
	record, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		}
	}()
	s := &Scene{Trouble: os.Getenv("TROUBLE") != "0", Record: record, folder: folder, replicas: make(map[string][]*Replica)}
	defer s.close()
	ended := make(chan error, 1)
	go func() { ended <- run(s) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case err = <-ended:
	case <-interrupted:
		err = errors.New("interrupted")
	case <-time.After(115 * time.Second):
		err = errors.New("the case took too long")
	}
	switch {
	case err == nil:
		record.Line("held")
		fmt.Println("the rule held")
		return 0
	case errors.Is(err, ErrBroken):
		record.Line("broken: %v", err)
		fmt.Println(err)
		return 1
	}
	record.Line("not run: %v", err)
	fmt.Println("the case could not run:", err)
	return 2
}

// Open starts the store and prepares the machines. more are further lines of the settings files.
func (s *Scene) Open(more ...string) error {
	store, err := NewStore("127.0.0.1")
	if err != nil {
		return err
	}
	s.Store = store
	// Other runs on this machine use other addresses.
	for try := range maxTries {
		if s.Instances, err = s.machines((os.Getpid()+try*37)%200+20, more); err == nil {
			return nil
		}
	}
	return err
}

// maxTries is how many networks of loopback addresses are tried.
const maxTries = 5

// machines prepares the machines in a network of loopback addresses.
func (s *Scene) machines(network int, more []string) (instances []*Instance, err error) {
	for number, zone := range machineZones {
		instance, err := NewInstance(fmt.Sprintf("front-%s-%d", zone, number+1), zone, fmt.Sprintf("127.0.%d.%d", network, 11+number), os.Args[2], s.folder, s.Store.Address(), more...)
		if err != nil {
			return nil, err
		}
		instances = append(instances, instance)
	}
	return instances, nil
}

// StartInstances starts the entry instances and waits until they are ready and registered.
func (s *Scene) StartInstances() error {
	for _, instance := range s.Instances {
		if err := instance.Start(s.Record); err != nil {
			return err
		}
	}
	if err := WaitReady(s.Instances, 10*time.Second); err != nil {
		return err
	}
	for _, instance := range s.Instances {
		instance.WatchReadiness()
	}
	time.Sleep(2 * time.Second)
	return nil
}

// Roll stops the machines in turn by SIGTERM, each the gap after the one before, and starts each again when it has ended.
func (s *Scene) Roll(gap time.Duration) error {
	results := make(chan error, len(s.Instances))
	for _, instance := range s.Instances {
		go func() { results <- instance.Restart(s.Record) }()
		time.Sleep(gap)
	}
	for range s.Instances {
		if err := <-results; err != nil {
			return err
		}
	}
	return WaitReady(s.Instances, 10*time.Second)
}

// AddReplicas starts replicas of a service, in the zones in turn.
func (s *Scene) AddReplicas(service Service, count int) error {
	for n := range count {
		replica, err := StartReplica("127.0.0.1", Zones[n%len(Zones)], service, s.Store, s.Record)
		if err != nil {
			return err
		}
		s.mutex.Lock()
		s.replicas[service.Name] = append(s.replicas[service.Name], replica)
		s.mutex.Unlock()
	}
	return nil
}

// CrashAll crashes all replicas of a service.
func (s *Scene) CrashAll(service string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, replica := range s.replicas[service] {
		replica.Crash()
	}
	s.replicas[service] = nil
}

// Replicas returns the replicas of a service that have not crashed.
func (s *Scene) Replicas(service string) []*Replica {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]*Replica(nil), s.replicas[service]...)
}

// Configure writes a version of the configuration and returns the time of the confirmation.
func (s *Scene) Configure(version int, routes, services []string, more ...string) time.Time {
	text := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":5000,"idle_timeout_ms":30000}%s}`,
		version, strings.Join(routes, ","), strings.Join(services, ","), strings.Join(more, ""))
	at := s.Store.Put("op/config", text)
	s.Record.Line("configuration %d confirmed: %s", version, strings.Join(routes, " "))
	return at
}

// close ends everything that the scene has started.
func (s *Scene) close() {
	for _, instance := range s.Instances {
		instance.Stop()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, replicas := range s.replicas {
		for _, replica := range replicas {
			replica.Crash()
		}
	}
}
