// Package burn counts what the service-level objectives of the catalogue are met by, and what spends their error
// budgets.
//
// A Recorder owns the buckets of one entry instance: one minute each, for six hours, in memory. Snapshots and
// merged reports are immutable values. The package opens no socket, and it never estimates what it has no counts
// for: a report states each gap.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// Minutes is the length of the history: the longest window, six hours.
	Minutes = 360
	// maxSeries bounds the objectives that are followed. One takes 6 KB for its buckets and at most 12 KB for its
	// spenders, so that the worst case is 18 MB; the two deployments have 110.
	maxSeries = 1024
)

// Key names an objective. An empty service stands for the application's queries as a whole.
type Key struct {
	Application string `json:"application"`
	Service     string `json:"service"`
}

// Objective is what the catalogue promises: Percent of the queries are answered whole within Latency.
type Objective struct {
	Latency time.Duration
	Percent float64
}

// Part is the outcome of one shard of a query.
type Part struct {
	Service, Shard string
	// Server and Zone are those of the attempt that is to blame if the part is missing or late.
	Server, Zone string
	// Answered is set for a complete answer, which arrived Took after the query.
	Answered bool
	Took     time.Duration
	// Reason is why the part is missing, or why its first attempt failed before another one answered.
	Reason verdict.Reason
}

// Outcome is what became of one query.
type Outcome struct {
	Application string
	// Zone is that of the entry instance.
	Zone string
	Took time.Duration
	// Refused is the reason of a refusal; None means that an answer was sent.
	Refused verdict.Reason
	// Parts has one line for each shard of the query; it is empty if the query was refused before it was split.
	Parts []Part
}

// Recorder counts outcomes. It is safe for concurrent use.
type Recorder struct {
	instance, zone string
	started        time.Time

	mutex      sync.RWMutex
	objectives map[Key]Objective
	services   map[string][]string
	series     map[Key]*series
	// untracked counts outcomes of objectives above maxSeries.
	untracked int64
}

// New returns a recorder without counts, which starts now.
func New(instance, zone string) *Recorder {
	return &Recorder{
		instance: instance, zone: zone, started: time.Now(), objectives: make(map[Key]Objective),
		services: make(map[string][]string), series: make(map[Key]*series),
	}
}

// Update takes the objectives of the catalogue in force. Counts of objectives that are no longer in it are dropped
// and those of changed ones are kept; the series tells since when its objective holds. The objective of an
// application as a whole is the loosest latency of its services, because the slowest one ends the query, with the
// lowest percentage.
func (r *Recorder) Update(c catalogue.Catalogue) {
	objectives, services := make(map[Key]Objective), make(map[string][]string)
	for _, service := range c.Services() {
		application := string(service.Application)
		objectives[Key{application, string(service.ID)}] = Objective{service.LatencyObjective, service.ObjectivePercent}
		services[application] = append(services[application], string(service.ID))
		whole, known := objectives[Key{Application: application}]
		if !known {
			whole.Percent = service.ObjectivePercent
		}
		whole.Latency, whole.Percent = max(whole.Latency, service.LatencyObjective), min(whole.Percent, service.ObjectivePercent)
		objectives[Key{Application: application}] = whole
	}
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.objectives, r.services = objectives, services
	for key, s := range r.series {
		objective, kept := objectives[key]
		if !kept {
			delete(r.series, key)
			continue
		}
		s.change(objective, now)
	}
}

// Record counts the outcome of one query: for the application, and for each service that the query asked. A
// refusal for which the caller is at fault, and a query that the caller gave up, spend no budget and are not
// counted.
func (r *Recorder) Record(o Outcome) {
	if callersFault(o.Refused) {
		return
	}
	now := time.Now()
	whole, objective, known := r.find(Key{Application: o.Application})
	if !known {
		return
	}
	good := o.Refused == verdict.None && o.Took <= objective.Latency
	var spenders []Spender
	for _, part := range o.Parts {
		good = good && part.Answered
		if spender, spent := part.spent(objective.Latency); spent {
			spenders = append(spenders, spender)
		}
	}
	if !good && len(spenders) == 0 {
		spenders = []Spender{{Zone: o.Zone, Reason: o.Refused, Late: o.Refused == verdict.None, Count: 1}}
	}
	r.add(whole, now, good, spenders)
	if len(o.Parts) == 0 {
		r.recordUnsplit(o, now, good, spenders)
		return
	}
	r.recordServices(o, now)
}

// recordUnsplit counts a query that never reached a service: it is lost to each service of the application.
func (r *Recorder) recordUnsplit(o Outcome, now time.Time, good bool, spenders []Spender) {
	r.mutex.RLock()
	services := r.services[o.Application]
	r.mutex.RUnlock()
	for _, service := range services {
		if s, _, known := r.find(Key{o.Application, service}); known {
			r.add(s, now, good, spenders)
		}
	}
}

// recordServices counts the query once for each service, by the parts of that service.
func (r *Recorder) recordServices(o Outcome, now time.Time) {
	parts := slices.Clone(o.Parts)
	slices.SortStableFunc(parts, func(a, b Part) int { return cmp.Compare(a.Service, b.Service) })
	for len(parts) > 0 {
		service := parts[0].Service
		end := 1
		for end < len(parts) && parts[end].Service == service {
			end++
		}
		s, objective, known := r.find(Key{o.Application, service})
		if known && service != "" {
			var spenders []Spender
			ended := false
			for _, part := range parts[:end] {
				ended = ended || part.Answered || part.Reason != verdict.Cancelled
				if spender, spent := part.spent(objective.Latency); spent {
					spenders = append(spenders, spender)
				}
			}
			// A service whose parts were all given up because another service had failed the query shows neither.
			if ended {
				r.add(s, now, len(spenders) == 0, spenders)
			}
		}
		parts = parts[end:]
	}
}

// spent tells whether the part missed the objective, and by what.
func (p Part) spent(objective time.Duration) (Spender, bool) {
	late := p.Answered && p.Took > objective
	missing := !p.Answered && p.Reason != verdict.Cancelled
	return Spender{Shard: p.Shard, Server: p.Server, Zone: p.Zone, Reason: p.Reason, Late: late, Count: 1}, late || missing
}

// callersFault tells whether a refusal spends no budget.
func callersFault(reason verdict.Reason) bool {
	switch reason {
	case verdict.InvalidRequest, verdict.UnknownApplication, verdict.UnknownShard, verdict.DeadlineTooShort,
		verdict.TicketUnknown, verdict.TicketReused, verdict.TicketExpired, verdict.Cancelled, verdict.Unauthorised,
		verdict.ResultDropped:
		return true
	default:
		return false
	}
}

// find returns the series of an objective; the series is nil above the bound.
func (r *Recorder) find(key Key) (*series, Objective, bool) {
	r.mutex.RLock()
	s, objective := r.series[key], r.objectives[key]
	_, known := r.objectives[key]
	r.mutex.RUnlock()
	if !known || s != nil {
		return s, objective, known
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// The catalogue may have changed between the locks.
	if objective, known = r.objectives[key]; !known {
		return nil, objective, false
	}
	if r.series[key] == nil && len(r.series) < maxSeries {
		r.series[key] = &series{objective: objective, bound: boundOf(key), since: r.started}
	}
	return r.series[key], objective, true
}

func (r *Recorder) add(s *series, now time.Time, good bool, spenders []Spender) {
	if s == nil {
		r.mutex.Lock()
		r.untracked++
		r.mutex.Unlock()
		return
	}
	s.add(now, good, spenders)
}
