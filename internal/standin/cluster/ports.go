package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports of entry instances are below the range of ephemeral ports, from which the kernel takes the ports of outgoing
// connections and of listeners on port 0. So neither can take the port of a killed entry instance before its restart.
const (
	firstPort, lastPort = 10_000, 30_000
	portAttempts        = 200
)

// reserved holds the ports that were given to clusters of this process. They are never released.
var reserved struct {
	mutex sync.Mutex
	ports map[int]bool
}

// reserveAddress returns a loopback address on which nothing listens. No other cluster of this process gets it. A
// cluster of another process can take it only between this call and the start of the entry instance.
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
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue // the port is in use by another process
		}
		reserved.ports[port] = true
		address := listener.Addr().String()
		return address, listener.Close()
	}
	return "", errors.New("no free port for an entry instance")
}
