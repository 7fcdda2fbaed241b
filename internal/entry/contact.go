package entry

// Decides which backend servers this instance may contact. Claims are not sufficient for this: while an availability
// zone is out of service, instances of other zones claim its servers.

import (
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// mayContact reports whether this instance may open connections to a server and poll its state. It is false for servers
// that are out of service and for those that the instance list reports as leaving. A server that only reports itself as
// leaving is still polled, because nothing else reveals that a process was restarted at its address.
func (i *Instance) mayContact(server fleet.Server) bool {
	current := i.catalogue()
	return !server.Leaving && !current.ZoneOutOfService(server.Zone) && !current.InstanceOutOfService(fleet.InstanceID(server.ID))
}

// connectionLimit returns the maximum number of connections to a server. With 0 no connection is opened, and one in use
// is closed after its call. The limit is computed from the server's current entry, because the given one may have been
// looked up before the server began to leave, and a connection that is opened or kept after closeIdleConnections would
// never be closed.
func (i *Instance) connectionLimit(server fleet.Server) int {
	if current, known := i.members.server(server.ID); known {
		server = current
	}
	if !i.mayContact(server) {
		return 0
	}
	_, connections, _ := i.members.table.Load().Claim(server.ID)
	return connections
}

// closeIdleConnections closes the idle connections to the claimed servers that may not be contacted. The transport's
// prober would otherwise continue to use them.
func (i *Instance) closeIdleConnections(claimed []fleet.ServerID) {
	for _, id := range claimed {
		if server, ok := i.members.server(id); ok && !i.mayContact(server) {
			i.transport.Forget(id)
		}
	}
}
