package relay

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// These constants give each test process its own range of ports, chosen by its process id, below the ephemeral
	// ports of the kernel. Neither an outgoing connection nor another test process can then take a port between its
	// choice and the start of a listener, unless two concurrent processes have the same id modulo portRanges.
	firstPort, portsPerRange, portRanges = 12000, 200, 90
)

// nextPort counts the ports tried by this process.
var nextPort atomic.Int64

// FreeAddress returns a loopback address on which no process listens. It returns an address again only after all other
// ports of the range of this process were tried.
func FreeAddress() (string, error) {
	var lastErr error
	for range portsPerRange {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+os.Getpid()%portRanges*portsPerRange+int(nextPort.Add(1)%portsPerRange))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
		lastErr = err
	}
	return "", fmt.Errorf("no free port in the range of this process: %w", lastErr)
}
