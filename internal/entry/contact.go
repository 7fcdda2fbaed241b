package entry

// Which backend servers this instance may contact at all. Claims alone do not say it: while a zone is out, instances of
// other zones claim its servers.

import (
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// mayContact is false for servers that operators have taken out and for those that leave by the instance list. A server
// that only says itself that it leaves is still asked for its state, because nothing else tells of a process that was
// started again at its address.
func (i *Instance) mayContact(server fleet.Server) bool {
	entries := i.catalogue()
	return !server.Leaving && !entries.ZoneOut(server.Zone) && !entries.InstanceOut(fleet.InstanceID(server.ID))
}

// connections is the limit of connections to a server. With 0 no connection is opened, and one in use is closed after
// its call. It goes by the server's entry of now, because the caller may have looked it up before the server began to
// leave, and no one closes a connection that is opened or kept after closeIdle.
func (i *Instance) connections(server fleet.Server) int {
	if current, known := i.members.server(server.ID); known {
		server = current
	}
	if !i.mayContact(server) {
		return 0
	}
	_, connections, _ := i.members.table.Load().Claim(server.ID)
	return connections
}

// closeIdle closes the idle connections to the claimed servers that may not be contacted; the prober would go on
// using them.
func (i *Instance) closeIdle(claimed []fleet.ServerID) {
	for _, id := range claimed {
		if server, ok := i.members.server(id); ok && !i.mayContact(server) {
			i.transport.Forget(id)
		}
	}
}
