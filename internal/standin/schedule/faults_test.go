package schedule

// The faults that a schedule is drawn from. The target of a fault is drawn from the random numbers of the run.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/standin/relay"
)

// Durations of faults. With faultDuration, a pause is longer than every timeout between instances. With
// longFaultDuration, a zone that is out or a server that leaves is observed for longer than the 3 s that the invariants
// allow, also when another fault of the episode ends only after 3 s.
const (
	faultDuration     = 3 * time.Second
	longFaultDuration = 7500 * time.Millisecond
)

// faultKind is a kind of fault; draw draws the target of a fault of that kind.
type faultKind struct {
	name string
	draw func(r *run, random *rand.Rand) fault
}

// fault is one drawn fault. The target is printed with the results of the episode; duration is the time between the end
// of start and the call of stop.
type fault struct {
	target      string
	start, stop func(ctx context.Context) error
	duration    time.Duration
}

func faultKinds() []faultKind {
	return []faultKind{
		{"entry killed", entryKilled},
		{"entry paused", entryPaused},
		{"entry shut down", entryShutDown},
		{"zone cut from the others", zoneCut},
		{"zone cut from the platform", platformCut},
		{"zone divided", zonePartitioned},
		{"connections silent", connectionsSilent},
		{"store down", storeFault(`{"down":true}`, true)},
		{"store slow", storeFault(`{"slow-millis":600}`, false)},
		{"store loses replies", storeFault(`{"lose-replies":2}`, false)},
		{"store behind", storeFault(`{"behind":2}`, true)},
		{"list lags", listLags},
		{"server cold again", serverCold},
		{"server shedding", serverFault(`{"shedding":true}`, `{"shedding":false}`)},
		{"server leaving", serverLeaving},
		{"server slow", serverFault(`{"slow-factor":20}`, `{"slow-factor":1}`)},
		{"server lost", serverLost},
		{"new index version", newIndex},
		{"zone out", zoneOut},
		{"operators race", operatorsRace},
	}
}

// pickEntry picks an entry instance that no other fault of the episode has picked.
func (r *run) pickEntry(random *rand.Rand) int {
	for {
		n := random.IntN(len(r.cluster.Entries))
		if !r.faultedEntries[n] {
			r.faultedEntries[n] = true
			return n
		}
	}
}

func entryKilled(r *run, random *rand.Rand) fault {
	n := r.pickEntry(random)
	return fault{target: r.cluster.Entries[n].Name, duration: 2 * time.Second, start: func(context.Context) error {
		r.beginDowntime(n)
		if err := r.cluster.Signal(n, syscall.SIGKILL); err != nil {
			return err
		}
		_ = r.cluster.Wait(n, 5*time.Second) // the error says that the signal ended the process
		return nil
	}, stop: func(context.Context) error {
		defer r.endDowntime(n)
		return r.cluster.StartEntry(n)
	}}
}

func entryPaused(r *run, random *rand.Rand) fault {
	n := r.pickEntry(random)
	return fault{target: r.cluster.Entries[n].Name, duration: faultDuration, start: func(context.Context) error {
		r.beginDowntime(n)
		r.doubleSlotsAllowed.Store(true)
		return r.cluster.Signal(n, syscall.SIGSTOP)
	}, stop: func(context.Context) error {
		defer r.endDowntime(n)
		return r.cluster.Signal(n, syscall.SIGCONT)
	}}
}

// entryShutDown records no downtime, because a graceful shutdown must not interrupt requests.
func entryShutDown(r *run, random *rand.Rand) fault {
	n := r.pickEntry(random)
	return fault{target: r.cluster.Entries[n].Name, duration: time.Second, start: func(context.Context) error {
		if err := r.cluster.Signal(n, syscall.SIGTERM); err != nil {
			return err
		}
		time.AfterFunc(100*time.Millisecond, func() { r.load.burst(-1, burstSize) }) // before the next readiness check
		return r.cluster.Wait(n, 15*time.Second)
	}, stop: func(context.Context) error {
		r.recordRestart(n)
		return r.cluster.StartEntry(n)
	}}
}

func pickZone(random *rand.Rand) string {
	return []string{"zone-a", "zone-b", "zone-c"}[random.IntN(3)]
}

// zoneCut cuts a zone from the other zones, in both directions or in one.
func zoneCut(r *run, random *rand.Rand) fault {
	zone, state := pickZone(random), []relay.State{relay.Held, relay.Silent}[random.IntN(2)]
	outbound, inbound := state, state
	switch random.IntN(3) {
	case 0:
		outbound = relay.Open
	case 1:
		inbound = relay.Open
	}
	return fault{
		target: fmt.Sprintf("%s, outbound state %d, inbound state %d", zone, outbound, inbound), duration: faultDuration,
		start: func(context.Context) error {
			r.cluster.SetZoneLinks(zone, outbound, inbound)
			r.recordCut(zone, true)
			return nil
		},
		stop: func(context.Context) error {
			r.cluster.SetZoneLinks(zone, relay.Open, relay.Open)
			r.recordCut(zone, false)
			return nil
		},
	}
}

// zonePartitioned cuts the two instances of zone-a from each other, in both directions or in one. Only a cut of one
// direction allows double slots: both instances may send until the claim delay of the other has passed.
func zonePartitioned(r *run, random *rand.Rand) fault {
	outbound, inbound := relay.Silent, relay.Silent
	if random.IntN(2) == 0 {
		outbound = relay.Open
		r.doubleSlotsAllowed.Store(true)
	}
	return fault{target: fmt.Sprintf("state %d from entry-1 to entry-2, %d back", outbound, inbound), duration: faultDuration, start: func(context.Context) error {
		r.cluster.SetLinks("entry-1", "entry-2", outbound, inbound)
		// By then both instances have claimed servers, and each coordinates enough queries to use all slots.
		time.AfterFunc(1800*time.Millisecond, func() {
			go r.load.burst(0, burstSize)
			r.load.burst(1, burstSize)
		})
		return nil
	}, stop: func(context.Context) error {
		r.cluster.SetLinks("entry-1", "entry-2", relay.Open, relay.Open)
		return nil
	}}
}

// platformCut cuts the entry instances of a zone from the store and the instance list.
func platformCut(r *run, random *rand.Rand) fault {
	zone, state := pickZone(random), []relay.State{relay.Held, relay.Silent}[random.IntN(2)]
	return fault{target: fmt.Sprintf("%s, state %d", zone, state), duration: faultDuration, start: func(context.Context) error {
		r.cluster.SetPlatformLinks(zone, state)
		r.recordCut(zone, true)
		return nil
	}, stop: func(context.Context) error {
		r.cluster.SetPlatformLinks(zone, relay.Open)
		r.recordCut(zone, false)
		return nil
	}}
}

// storeFault returns a fault of the store. If unreachable is set, no instance can learn of configuration changes
// meanwhile.
func storeFault(faults string, unreachable bool) func(*run, *rand.Rand) fault {
	return func(r *run, _ *rand.Rand) fault {
		return fault{target: faults, duration: faultDuration, start: func(ctx context.Context) error {
			if unreachable {
				r.recordConfigOutageOfAll(true)
			}
			return r.cluster.SetStoreFaults(ctx, faults)
		}, stop: func(ctx context.Context) error {
			if unreachable {
				defer r.recordConfigOutageOfAll(false)
			}
			return r.cluster.SetStoreFaults(ctx, `{}`)
		}}
	}
}

func listLags(r *run, _ *rand.Rand) fault {
	return fault{target: "3 s", duration: faultDuration, start: func(ctx context.Context) error {
		return r.cluster.SetInstanceListFaults(ctx, `{"lag-millis":3000,"slow-millis":500}`)
	}, stop: func(ctx context.Context) error { return r.cluster.SetInstanceListFaults(ctx, `{}`) }}
}

// pickServer picks a backend server of either application.
func pickServer(random *rand.Rand) string {
	if random.IntN(4) == 0 {
		return fmt.Sprintf("%s-%c", settlementApplication, 'a'+random.IntN(9))
	}
	return fmt.Sprintf("%s-%02d-%c", searchApplication, 1+random.IntN(20), 'a'+random.IntN(2))
}

// serverFault returns a fault of a backend server with the changes that start and stop it.
func serverFault(startFaults, stopFaults string) func(*run, *rand.Rand) fault {
	return func(r *run, random *rand.Rand) fault {
		id := pickServer(random)
		return fault{
			target: id + " " + startFaults, duration: faultDuration,
			start: func(ctx context.Context) error { return r.cluster.SetServerFaults(ctx, id, startFaults) },
			stop:  func(ctx context.Context) error { return r.cluster.SetServerFaults(ctx, id, stopFaults) },
		}
	}
}

func serverLost(r *run, random *rand.Rand) fault {
	r.serverConnectionsClosed.Store(true)
	return serverFault(`{"down":true}`, `{"down":false}`)(r, random)
}

// serverCold restarts both replicas of a service at the same addresses. Their connections are lost, they tolerate
// little load while cold, and there is no warm replica to take their part of a burst.
func serverCold(r *run, random *rand.Rand) fault {
	service := fmt.Sprintf("%s-%02d", searchApplication, 1+random.IntN(20))
	r.serverConnectionsClosed.Store(true)
	change := func(ctx context.Context, faults string) error {
		return errors.Join(r.cluster.SetServerFaults(ctx, service+"-a", faults), r.cluster.SetServerFaults(ctx, service+"-b", faults))
	}
	return fault{target: service, duration: faultDuration, start: func(ctx context.Context) error {
		if err := change(ctx, `{"down":true}`); err != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond)
		defer r.load.burst(-1, burstSize)
		return change(ctx, `{"down":false,"cold":true}`)
	}, stop: func(ctx context.Context) error { return change(ctx, `{"cold":false}`) }}
}

// serverLeaving makes a server leave and stops with a restart of it, because a leaving server is used again only after
// it has a new start mark.
func serverLeaving(r *run, random *rand.Rand) fault {
	id := pickServer(random)
	r.serverConnectionsClosed.Store(true)
	return fault{target: id, duration: longFaultDuration, start: func(ctx context.Context) error {
		return r.cluster.SetServerFaults(ctx, id, `{"leaving":true}`)
	}, stop: func(ctx context.Context) error {
		if err := r.cluster.SetServerFaults(ctx, id, `{"down":true,"leaving":false}`); err != nil {
			return err
		}
		return r.cluster.SetServerFaults(ctx, id, `{"down":false}`)
	}}
}

func connectionsSilent(r *run, random *rand.Rand) fault {
	ids := []string{pickServer(random), pickServer(random), pickServer(random)}
	return fault{target: fmt.Sprint(ids), duration: faultDuration, start: func(ctx context.Context) error {
		for _, id := range ids {
			if err := r.cluster.SetServerFaults(ctx, id, `{"silent-connections":100}`); err != nil {
				return err
			}
		}
		return nil
	}, stop: func(context.Context) error { return nil }}
}

// newIndex loads the next index version at every server and publishes it beside the previous one. When it stops, it
// drops the previous version from the servers.
func newIndex(r *run, _ *rand.Rand) fault {
	setVersions := func(ctx context.Context, versions string) error {
		report, err := r.cluster.Observed(ctx)
		if err != nil {
			return err
		}
		for id := range report.Servers {
			if err := r.cluster.SetServerFaults(ctx, id, `{"held":`+versions+`}`); err != nil {
				return err
			}
		}
		return nil
	}
	return fault{target: "all services", duration: faultDuration, start: func(ctx context.Context) error {
		version := r.version.Add(1)
		if err := setVersions(ctx, fmt.Sprintf("[%d,%d]", version-1, version)); err != nil {
			return err
		}
		return publish(ctx, r, version-1, version)
	}, stop: func(ctx context.Context) error {
		version := r.version.Load()
		if err := publish(ctx, r, version-1, version); err != nil {
			return err
		}
		return setVersions(ctx, fmt.Sprintf("[%d]", version))
	}}
}

// publish publishes index versions and retries while another fault makes the store unreachable.
func publish(ctx context.Context, r *run, versions ...uint64) error {
	for {
		err := r.cluster.Publish(ctx, versions...)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// zoneOut takes a zone out of service and puts it back.
func zoneOut(r *run, random *rand.Rand) fault {
	zone := pickZone(random)
	change := func(ctx context.Context, out bool) error {
		return r.edit(ctx, 7, func(current catalogue.Catalogue) catalogue.Catalogue {
			return current.WithZoneOutOfService(fleet.ZoneID(zone), out)
		})
	}
	return fault{target: zone, duration: longFaultDuration, start: func(ctx context.Context) error {
		if err := change(ctx, true); err != nil {
			return err
		}
		r.recordZoneOut(zone, true)
		return nil
	}, stop: func(ctx context.Context) error {
		r.recordZoneOut(zone, false)
		return change(ctx, false)
	}}
}

// operatorsRace makes configuration changes by three operators at a time; failed attempts are ignored.
func operatorsRace(r *run, _ *rand.Rand) fault {
	return fault{target: "3 operators", duration: faultDuration, start: func(ctx context.Context) error {
		var group sync.WaitGroup
		for operator := range uint64(3) {
			group.Go(func() {
				for round := range 4 {
					id := "entry-2" + fmt.Sprint(operator) // not the name of a running instance
					_ = r.editOnce(ctx, 100+operator, func(current catalogue.Catalogue) catalogue.Catalogue {
						return current.WithInstanceOutOfService(fleet.InstanceID(id), round%2 == 0)
					})
				}
			})
		}
		group.Wait()
		return nil
	}, stop: func(context.Context) error { return nil }}
}
