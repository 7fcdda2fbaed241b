package directory

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// RollOut is an operator's order to move the traffic of a service to the replicas of one version. Values are immutable.
type RollOut struct {
	Service fleet.ServiceID `json:"service"`
	// Version is the software version of the replicas that are to get the traffic.
	Version string `json:"version"`
	// Within is the time from the order until the roll-out must have been completed or rolled back.
	Within time.Duration `json:"within"`
	// Revision is the store's revision at which the order was written.
	Revision uint64 `json:"revision"`
}

// maxRollOutTime bounds the time of an order.
const maxRollOutTime = 24 * time.Hour

// Check returns an error if the order cannot be carried out.
func (r RollOut) Check() error {
	if r.Within <= 0 || r.Within > maxRollOutTime {
		return fmt.Errorf("time of the roll-out is %v; it must be above 0 and at most %v", r.Within, maxRollOutTime)
	}
	if err := checkName("version", r.Version); err != nil {
		return err
	}
	return checkName("service", string(r.Service))
}

// RollOutState is the state of a roll-out that the store shows the operators.
type RollOutState int

//go:generate go tool stringer -type=RollOutState -linecomment -output=roll_out_state_string.go

const (
	// RollOutRunning is the state from the order until it is decided.
	RollOutRunning RollOutState = iota // running
	// RollOutCompleted says that no instance sends to the former replicas any more, which then stop at once.
	RollOutCompleted // completed
	// RollOutRolledBack says that no instance sends to the replicas of the ordered version any more.
	RollOutRolledBack // rolled-back
)

// RollOutStatus is what the store has under the status of a service's roll-out.
type RollOutStatus struct {
	Version string       `json:"version"`
	State   RollOutState `json:"state"`
	// Revision is the store's revision at which the status was written; 0 if there is none.
	Revision uint64 `json:"revision"`
}

// Final reports whether the status is the end of the order.
func (s RollOutStatus) Final(order RollOut) bool {
	return s.State != RollOutRunning && s.Version == order.Version && s.Revision > order.Revision
}

// ServiceRollOut is an order with the status that the store has for its service.
type ServiceRollOut struct {
	RollOut
	Status RollOutStatus
}

// setRollOut records an order, or its deletion. A value that cannot be used leaves the known order in force, as does a
// copy from which the store was restored: a roll-out ends by itself, and half of one does more harm than a late one. It
// reports whether anything changed.
func (d *Directory) setRollOut(change *Change, now time.Time) bool {
	known, listed := d.rollOuts[change.RollOutOf]
	switch {
	case change.RollOut != nil:
		d.rollOuts[change.RollOutOf] = *change.RollOut
		return known != *change.RollOut
	case !change.Deleted || !listed || now.Before(d.storeRestoredAt.Add(evacuationGracePeriod)):
		return false
	}
	delete(d.rollOuts, change.RollOutOf)
	return true
}

// setRollOutStatus records the status of a service's roll-out, or its deletion, and reports whether anything changed.
func (d *Directory) setRollOutStatus(change *Change) bool {
	known, listed := d.rollOutStatus[change.StatusOf]
	if change.RollOutStatus == nil {
		delete(d.rollOutStatus, change.StatusOf)
		return listed
	}
	d.rollOutStatus[change.StatusOf] = *change.RollOutStatus
	return known != *change.RollOutStatus
}

// missingRollOuts returns the deletions of what a full list of the store does not contain.
func (d *Directory) missingRollOuts(listed []Change) (missing []Change) {
	orders, status := make(map[fleet.ServiceID]bool), make(map[fleet.ServiceID]bool)
	for i := range listed {
		orders[listed[i].RollOutOf] = true
		status[listed[i].StatusOf] = true
	}
	for _, service := range slices.Sorted(maps.Keys(d.rollOuts)) {
		if !orders[service] {
			missing = append(missing, Change{RollOutOf: service, Deleted: true})
		}
	}
	for _, service := range slices.Sorted(maps.Keys(d.rollOutStatus)) {
		if !status[service] {
			missing = append(missing, Change{StatusOf: service, Deleted: true})
		}
	}
	return missing
}

// rollOutSnapshot returns the orders and their status as changes.
func (d *Directory) rollOutSnapshot() (all []Change) {
	for _, service := range slices.Sorted(maps.Keys(d.rollOuts)) {
		order := d.rollOuts[service]
		all = append(all, Change{RollOutOf: service, RollOut: &order})
	}
	for _, service := range slices.Sorted(maps.Keys(d.rollOutStatus)) {
		status := d.rollOutStatus[service]
		all = append(all, Change{StatusOf: service, RollOutStatus: &status})
	}
	return all
}

// serviceRollOuts returns the orders with their status, by service.
func (d *Directory) serviceRollOuts() (all []ServiceRollOut) {
	for _, service := range slices.Sorted(maps.Keys(d.rollOuts)) {
		all = append(all, ServiceRollOut{d.rollOuts[service], d.rollOutStatus[service]})
	}
	return all
}
