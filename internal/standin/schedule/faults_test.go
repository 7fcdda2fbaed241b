package schedule

// The faults, each with its start and its end. What a fault hits is drawn from the schedule's random numbers.

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

// Spans of faults. A pause is longer than every timeout between instances; a zone that is out, or a server that
// leaves, is watched beyond the 3 s of the invariants, also when another fault ends after 3 s.
const (
	faultSpan = 3 * time.Second
	outSpan   = 7500 * time.Millisecond
)

// kind makes a fault and returns its description, which a failure prints.
type kind struct {
	name string
	draw func(r *run, random *rand.Rand) fault
}

// fault is one drawn fault.
type fault struct {
	on          string
	start, stop func(ctx context.Context) error
	span        time.Duration
}

func kinds() []kind {
	return []kind{
		{"entry killed", entryKilled},
		{"entry paused", entryPaused},
		{"entry shut down", entryShutDown},
		{"zone cut from the others", zoneCut},
		{"zone cut from the platform", platformCut},
		{"zone divided", zoneDivided},
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

// entry picks an entry instance, another one for each fault of an episode.
func (r *run) entry(random *rand.Rand) int {
	for {
		n := random.IntN(len(r.cluster.Entries))
		if !r.chosen[n] {
			r.chosen[n] = true
			return n
		}
	}
}

func entryKilled(r *run, random *rand.Rand) fault {
	n := r.entry(random)
	return fault{on: r.cluster.Entries[n].Name, span: 2 * time.Second, start: func(context.Context) error {
		r.impair(n)
		if err := r.cluster.Signal(n, syscall.SIGKILL); err != nil {
			return err
		}
		_ = r.cluster.Wait(n, 5*time.Second) // it ends by the signal
		return nil
	}, stop: func(context.Context) error {
		defer r.repair(n)
		return r.cluster.StartEntry(n)
	}}
}

func entryPaused(r *run, random *rand.Rand) fault {
	n := r.entry(random)
	return fault{on: r.cluster.Entries[n].Name, span: faultSpan, start: func(context.Context) error {
		r.impair(n)
		r.allowance.Store(true)
		return r.cluster.Signal(n, syscall.SIGSTOP)
	}, stop: func(context.Context) error {
		defer r.repair(n)
		return r.cluster.Signal(n, syscall.SIGCONT)
	}}
}

// entryShutDown does not impair the instance: a graceful shutdown must not cut a request.
func entryShutDown(r *run, random *rand.Rand) fault {
	n := r.entry(random)
	return fault{on: r.cluster.Entries[n].Name, span: time.Second, start: func(context.Context) error {
		if err := r.cluster.Signal(n, syscall.SIGTERM); err != nil {
			return err
		}
		time.AfterFunc(100*time.Millisecond, func() { r.load.burst(-1, bursts) }) // the balancer does not know yet
		return r.cluster.Wait(n, 15*time.Second)
	}, stop: func(context.Context) error {
		r.restarted(n)
		return r.cluster.StartEntry(n)
	}}
}

func zoneOf(random *rand.Rand) string { return []string{"zone-a", "zone-b", "zone-c"}[random.IntN(3)] }

func zoneCut(r *run, random *rand.Rand) fault {
	zone, state := zoneOf(random), []relay.State{relay.Held, relay.Silent}[random.IntN(2)]
	leaving, coming := state, state
	switch random.IntN(3) {
	case 0:
		leaving = relay.Open
	case 1:
		coming = relay.Open
	}
	return fault{
		on: fmt.Sprintf("%s, state %d leaving and %d coming in", zone, leaving, coming), span: faultSpan,
		start: func(context.Context) error {
			r.cluster.SetZoneLinks(zone, leaving, coming)
			r.cut(zone, true)
			return nil
		},
		stop: func(context.Context) error {
			r.cluster.SetZoneLinks(zone, relay.Open, relay.Open)
			r.cut(zone, false)
			return nil
		},
	}
}

// zoneDivided cuts the two instances of zone-a from each other, in both directions or in one. Only a cut of one
// direction has an allowance: both may send until the claim delay of the other side has passed.
func zoneDivided(r *run, random *rand.Rand) fault {
	leaving, coming := relay.Silent, relay.Silent
	if random.IntN(2) == 0 {
		leaving = relay.Open
		r.allowance.Store(true)
	}
	return fault{on: fmt.Sprintf("state %d and %d", leaving, coming), span: faultSpan, start: func(context.Context) error {
		r.cluster.SetLinks("entry-1", "entry-2", leaving, coming)
		// Both have claimed by then, and each is the coordinator of enough for all slots.
		time.AfterFunc(1800*time.Millisecond, func() {
			go r.load.burst(0, bursts)
			r.load.burst(1, bursts)
		})
		return nil
	}, stop: func(context.Context) error {
		r.cluster.SetLinks("entry-1", "entry-2", relay.Open, relay.Open)
		return nil
	}}
}

func platformCut(r *run, random *rand.Rand) fault {
	zone, state := zoneOf(random), []relay.State{relay.Held, relay.Silent}[random.IntN(2)]
	return fault{on: fmt.Sprintf("%s, state %d", zone, state), span: faultSpan, start: func(context.Context) error {
		r.cluster.SetPlatformLinks(zone, state)
		r.cut(zone, true)
		return nil
	}, stop: func(context.Context) error {
		r.cluster.SetPlatformLinks(zone, relay.Open)
		r.cut(zone, false)
		return nil
	}}
}

func storeFault(faults string, unreachable bool) func(*run, *rand.Rand) fault {
	return func(r *run, _ *rand.Rand) fault {
		return fault{on: faults, span: faultSpan, start: func(ctx context.Context) error {
			if unreachable {
				r.hideAll(true)
			}
			return r.cluster.StoreFaults(ctx, faults)
		}, stop: func(ctx context.Context) error {
			if unreachable {
				defer r.hideAll(false)
			}
			return r.cluster.StoreFaults(ctx, `{}`)
		}}
	}
}

func listLags(r *run, _ *rand.Rand) fault {
	return fault{on: "3 s", span: faultSpan, start: func(ctx context.Context) error {
		return r.cluster.ListFaults(ctx, `{"lag-millis":3000,"slow-millis":500}`)
	}, stop: func(ctx context.Context) error { return r.cluster.ListFaults(ctx, `{}`) }}
}

// server picks a backend server of either application.
func server(random *rand.Rand) string {
	if random.IntN(4) == 0 {
		return fmt.Sprintf("%s-%c", settlement, 'a'+random.IntN(9))
	}
	return fmt.Sprintf("%s-%02d-%c", search, 1+random.IntN(20), 'a'+random.IntN(2))
}

func serverFault(begin, end string) func(*run, *rand.Rand) fault {
	return func(r *run, random *rand.Rand) fault {
		id := server(random)
		return fault{
			on: id + " " + begin, span: faultSpan,
			start: func(ctx context.Context) error { return r.cluster.Fault(ctx, id, begin) },
			stop:  func(ctx context.Context) error { return r.cluster.Fault(ctx, id, end) },
		}
	}
}

func serverLost(r *run, random *rand.Rand) fault {
	r.downs.Store(true)
	return serverFault(`{"down":true}`, `{"down":false}`)(r, random)
}

// serverCold starts both replicas of a service again at the same addresses: their connections are lost, they bear
// little, and no warm replica can take their part of a burst.
func serverCold(r *run, random *rand.Rand) fault {
	service := fmt.Sprintf("%s-%02d", search, 1+random.IntN(20))
	r.downs.Store(true)
	change := func(ctx context.Context, faults string) error {
		return errors.Join(r.cluster.Fault(ctx, service+"-a", faults), r.cluster.Fault(ctx, service+"-b", faults))
	}
	return fault{on: service, span: faultSpan, start: func(ctx context.Context) error {
		if err := change(ctx, `{"down":true}`); err != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond)
		defer r.load.burst(-1, bursts)
		return change(ctx, `{"down":false,"cold":true}`)
	}, stop: func(ctx context.Context) error { return change(ctx, `{"cold":false}`) }}
}

// serverLeaving ends with a restart, because only a new start mark brings a leaving server back.
func serverLeaving(r *run, random *rand.Rand) fault {
	id := server(random)
	r.downs.Store(true)
	return fault{on: id, span: outSpan, start: func(ctx context.Context) error {
		return r.cluster.Fault(ctx, id, `{"leaving":true}`)
	}, stop: func(ctx context.Context) error {
		if err := r.cluster.Fault(ctx, id, `{"down":true,"leaving":false}`); err != nil {
			return err
		}
		return r.cluster.Fault(ctx, id, `{"down":false}`)
	}}
}

func connectionsSilent(r *run, random *rand.Rand) fault {
	ids := []string{server(random), server(random), server(random)}
	return fault{on: fmt.Sprint(ids), span: faultSpan, start: func(ctx context.Context) error {
		for _, id := range ids {
			if err := r.cluster.Fault(ctx, id, `{"silent-connections":100}`); err != nil {
				return err
			}
		}
		return nil
	}, stop: func(context.Context) error { return nil }}
}

// newIndex loads the next version at every server, publishes it and later drops the version before.
func newIndex(r *run, _ *rand.Rand) fault {
	held := func(ctx context.Context, versions string) error {
		report, err := r.cluster.Observed(ctx)
		if err != nil {
			return err
		}
		for id := range report.Servers {
			if err := r.cluster.Fault(ctx, id, `{"held":`+versions+`}`); err != nil {
				return err
			}
		}
		return nil
	}
	return fault{on: "all services", span: faultSpan, start: func(ctx context.Context) error {
		version := r.version.Add(1)
		if err := held(ctx, fmt.Sprintf("[%d,%d]", version-1, version)); err != nil {
			return err
		}
		return publish(ctx, r, version-1, version)
	}, stop: func(ctx context.Context) error {
		version := r.version.Load()
		if err := publish(ctx, r, version-1, version); err != nil {
			return err
		}
		return held(ctx, fmt.Sprintf("[%d]", version))
	}}
}

// publish tries again while another fault keeps the store away.
func publish(ctx context.Context, r *run, versions ...uint64) error {
	for {
		err := r.cluster.Publish(ctx, versions...)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func zoneOut(r *run, random *rand.Rand) fault {
	zone := zoneOf(random)
	change := func(ctx context.Context, out bool) error {
		return r.edit(ctx, 7, func(current catalogue.Catalogue) catalogue.Catalogue {
			return current.WithZoneOut(fleet.ZoneID(zone), out)
		})
	}
	return fault{on: zone, span: outSpan, start: func(ctx context.Context) error {
		if err := change(ctx, true); err != nil {
			return err
		}
		r.zoneTakenOut(zone, true)
		return nil
	}, stop: func(ctx context.Context) error {
		r.zoneTakenOut(zone, false)
		return change(ctx, false)
	}}
}

func operatorsRace(r *run, _ *rand.Rand) fault {
	return fault{on: "3 operators", span: faultSpan, start: func(ctx context.Context) error {
		var group sync.WaitGroup
		for operator := range uint64(3) {
			group.Go(func() {
				for round := range 4 {
					id := "entry-2" + fmt.Sprint(operator) // none that runs
					_ = r.editOnce(ctx, 100+operator, func(current catalogue.Catalogue) catalogue.Catalogue {
						return current.WithInstanceOut(fleet.InstanceID(id), round%2 == 0)
					})
				}
			})
		}
		group.Wait()
		return nil
	}, stop: func(context.Context) error { return nil }}
}
