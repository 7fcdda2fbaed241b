package directory

import (
	"errors"
	"fmt"
	"net"
	"strconv"
)

// maxNameBytes is the longest name of a service, a zone, a replica or an instance.
const maxNameBytes = 200

// Check returns an error if no request can be sent to the replica as it is described.
func (r Replica) Check() error {
	if r.Slots < 1 {
		return fmt.Errorf("replica with %d slots", r.Slots)
	}
	return errors.Join(checkName("replica", string(r.ID)), checkName("service", string(r.Service)), checkName("zone", string(r.Zone)), checkAddress(r.Address))
}

// Check returns an error if the entry does not describe an instance.
func (i Instance) Check() error {
	err := errors.Join(checkName("instance", string(i.ID)), checkName("zone", string(i.Zone)))
	if i.PeerAddress != "" {
		err = errors.Join(err, checkAddress(i.PeerAddress))
	}
	return err
}

// checkName returns an error unless the name of something has a usable length.
func checkName(of, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return fmt.Errorf("name of the %s has %d bytes; it must have 1 to %d", of, len(name), maxNameBytes)
	}
	return nil
}

// checkAddress returns an error unless the address is a host and the number of a port that can be connected to.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return fmt.Errorf("address %.64q is not host:port", address)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return fmt.Errorf("port of address %.64q is not between 1 and 65535", address)
	}
	return nil
}
