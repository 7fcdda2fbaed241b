package follow

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
)

// DeparturesMethod is the method by which an instance that has started learns which replicas are leaving or gone.
const DeparturesMethod = "departures"

// recallTries is the number of rounds after a start in which peers are asked for departures, until one has answered.
const recallTries = 3

// recall asks peers of this zone, or of others if it has none, which replicas are leaving or gone: the list of the store may
// have an entry that was written late.
func (f *Follower) recall(ctx context.Context) {
	if f.recalls >= recallTries {
		return
	}
	f.recalls++
	var near, far []directory.Instance
	for _, instance := range f.present() {
		switch {
		case instance.ID == f.Self.ID || instance.Peers == "":
		case instance.Zone == f.Self.Zone:
			near = append(near, instance)
		default:
			far = append(far, instance)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return
	}
	peer := near[f.Random.IntN(len(near))]
	bounded, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	departures, err := f.Peers.Departures(bounded, peer.Peers)
	if err != nil {
		klog.InfoS("Departures not recalled", "instance", peer.ID, "try", f.recalls, "err", err)
		return
	}
	f.recalls = recallTries
	f.takeDepartures(departures)
}

func (f *Follower) takeDepartures(departures []directory.Departure) {
	j := f.journal
	j.mutex.Lock()
	defer j.mutex.Unlock()
	altered := j.state.Recall(departures, time.Now())
	klog.InfoS("Departures recalled", "replicas", len(departures), "altered", altered)
	if altered {
		j.restart() // what peers were told before is no longer what is here
		f.show(j.revision)
	}
}

// Departures returns the replicas that this instance knows to be leaving or gone. It is safe for concurrent use.
func (f *Follower) Departures() []directory.Departure {
	f.journal.mutex.Lock()
	defer f.journal.mutex.Unlock()
	return f.journal.state.Departures()
}

// AnswerDepartures answers a call of DeparturesMethod. It implements link.Handler.
func (f *Follower) AnswerDepartures(context.Context, json.RawMessage) (any, error) {
	return f.Departures(), nil
}

// Departures implements Peers.
func (c *Client) Departures(ctx context.Context, address string) ([]directory.Departure, error) {
	var departures []directory.Departure
	err := c.links.Call(ctx, address, DeparturesMethod, struct{}{}, &departures)
	return departures, err
}
