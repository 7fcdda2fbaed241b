package relay

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// firstPort and portsEach give each test process ports of its own below those that the kernel hands out, so that
	// neither a connection nor another test process takes one between the choice and the start of a listener.
	firstPort, portsEach, portRanges = 12000, 200, 90
)

var nextPort atomic.Int64

// FreeAddress returns an address on loopback on which nobody listens, and that this process has not returned lately.
func FreeAddress() (string, error) {
	var last error
	for range portsEach {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+os.Getpid()%portRanges*portsEach+int(nextPort.Add(1)%portsEach))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
		last = err
	}
	return "", fmt.Errorf("no port is free: %w", last)
}
