package lookup

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

const (
	// strainShare is the smoothed share of late requests up to which nothing is turned away: a replica that pauses rejects as well
	// and makes some requests late. strainGain is the weight of one request.
	strainShare = 0.5
	strainGain  = 0.15
	// intakeCut is the factor of the share of requests that are let in, after one that was late because replicas turned its parts
	// away; intakeStep is added after one in time.
	intakeCut  = 0.7
	intakeStep = 0.04
	// calmStep is added instead once none was late for calm.
	calmStep = 0.15
	// leastIntake keeps some requests going, which show when the replicas have room again.
	leastIntake = 0.2
)

// intake lets in a share of the requests over one set of shards. It answers a crowd before many instances, each of which has so
// few requests in progress that a limit on their number cannot hold them back, and shards of which a few have lost replicas and
// reject what all requests need, while the others answer early.
type intake struct {
	mutex sync.Mutex
	name  fleet.ServiceID
	// turnedAway is 1 less the share that is let in, so that the zero value lets everything in.
	turnedAway float64
	// credit rises by the share with each request; a whole one lets a request in.
	credit float64
	// late is when a request was late last.
	late time.Time
	// strain is the smoothed share of requests that were late because their parts were rejected.
	strain float64
}

// admit tells whether a request is let in.
func (i *intake) admit() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.turnedAway <= 0 {
		return true
	}
	i.credit += 1 - i.turnedAway
	if i.credit < 1 {
		return false
	}
	i.credit--
	return true
}

// refused returns the share of requests that are turned away.
func (i *intake) refused() float64 {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.turnedAway
}

// observe takes whether a request was late because its parts were rejected.
func (i *intake) observe(now time.Time, overloaded bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	was := i.turnedAway
	if overloaded {
		i.late = now
		i.strain += strainGain * (1 - i.strain)
	} else {
		i.strain -= strainGain * i.strain
	}
	switch {
	case overloaded && i.strain < strainShare:
	case overloaded:
		i.turnedAway = min(1-leastIntake, 1-(1-was)*intakeCut)
	case now.Sub(i.late) > calm:
		i.turnedAway = max(0, was-calmStep)
	default:
		i.turnedAway = max(0, was-intakeStep)
	}
	switch {
	case was <= 0 && i.turnedAway > 0:
		klog.InfoS("Intake limited", "shard", i.name)
	case was > 0 && i.turnedAway <= 0:
		klog.InfoS("Intake unlimited", "shard", i.name)
	}
}
