package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports of entry instances are below the range from which the system takes those of connections and of listeners
// without a fixed port. While a killed instance is away, neither can take its port.
const (
	firstPort, lastPort = 10_000, 30_000
	portAttempts        = 200
)

var reserved struct {
	mutex sync.Mutex
	ports map[int]bool
}

// reserveAddress returns an address on which nothing listens. No other cluster of this process gets it; a cluster of
// another process could, but only between this call and the start of the instance.
func reserveAddress() (string, error) {
	reserved.mutex.Lock()
	defer reserved.mutex.Unlock()
	if reserved.ports == nil {
		reserved.ports = make(map[int]bool)
	}
	for range portAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if reserved.ports[port] {
			continue
		}
		listening, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue // another process has it
		}
		reserved.ports[port] = true
		address := listening.Addr().String()
		return address, listening.Close()
	}
	return "", errors.New("no free port for an entry instance")
}
