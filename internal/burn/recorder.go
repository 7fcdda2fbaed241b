// Package burn counts the queries that meet and miss the service-level objectives (SLOs) of the catalogue, and computes
// the burn rates of their error budgets.
//
// A Recorder holds the counts of one entry instance in memory, in buckets of one minute for the last six hours. Merge
// combines the snapshots of all instances into a report, which WriteText and WritePage write for readers. Snapshots
// and reports are immutable values. The package does no network I/O, and it does not estimate missing counts: the
// report lists every gap instead.
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
	// HistoryMinutes is the length of the history: six hours, which is the longest window of a burn rate.
	HistoryMinutes = 360
	// maxSeries is the maximum number of objectives with counts. Each takes 6 KB for its buckets and at most 12 KB for
	// its spenders, which limits the memory to 18 MB. The two deployments have 110 objectives.
	maxSeries = 1024
)

// Key identifies an objective. An empty Service means the objective of the application as a whole.
type Key struct {
	Application string `json:"application"`
	Service     string `json:"service"`
}

// Objective is a service-level objective of the catalogue: Percent of the queries get a complete answer within
// MaxLatency.
type Objective struct {
	MaxLatency time.Duration
	Percent    float64
}

// Part is the outcome of one shard of a query.
type Part struct {
	Service, Shard string
	// Server and Zone are those of the attempt that caused the part to be missing or late.
	Server, Zone string
	// Answered is set if the shard's complete answer arrived.
	Answered bool
	// Latency is the time from the start of the query until that answer arrived.
	Latency time.Duration
	// Reason is why the part is missing, or, for an answered part, why its first attempt failed; None if it did not.
	Reason verdict.Reason
}

// Outcome is the outcome of one query.
type Outcome struct {
	Application string
	// Zone is the availability zone of the entry instance.
	Zone string
	// Latency is the time from the start of the query until its answer or refusal.
	Latency time.Duration
	// RefusalReason is the reason of the refusal. None means that the query was answered.
	RefusalReason verdict.Reason
	// Parts has one element for each shard of the query. It is empty if the query was refused before it was split into
	// parts.
	Parts []Part
}

// Recorder counts the outcomes of queries by objective. It is safe for concurrent use.
type Recorder struct {
	instance, zone string
	started        time.Time

	mutex      sync.RWMutex
	objectives map[Key]Objective
	services   map[string][]string
	series     map[Key]*series
	// untracked counts the outcomes that were not recorded because maxSeries objectives already had counts.
	untracked int64
}

// New returns an empty recorder for an entry instance. Its history starts now.
func New(instance, zone string) *Recorder {
	return &Recorder{
		instance: instance, zone: zone, started: time.Now(), objectives: make(map[Key]Objective),
		services: make(map[string][]string), series: make(map[Key]*series),
	}
}

// Update replaces the objectives by those of the current catalogue. It deletes the counts of objectives that are no
// longer in the catalogue and keeps those of changed ones; Series.Since is when the objective last changed. The
// objective of an application combines the highest latency of its services, because the slowest service determines when
// a query ends, with their lowest percentage.
func (r *Recorder) Update(c catalogue.Catalogue) {
	objectives, services := make(map[Key]Objective), make(map[string][]string)
	for _, service := range c.Services() {
		application := string(service.Application)
		objectives[Key{application, string(service.ID)}] = Objective{service.LatencyObjective, service.ObjectivePercent}
		services[application] = append(services[application], string(service.ID))
		overall, known := objectives[Key{Application: application}]
		if !known {
			overall.Percent = service.ObjectivePercent
		}
		overall.MaxLatency, overall.Percent = max(overall.MaxLatency, service.LatencyObjective), min(overall.Percent, service.ObjectivePercent)
		objectives[Key{Application: application}] = overall
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
		s.setObjective(objective, now)
	}
}

// Record counts the outcome of one query for the application and for each service that the query used. It ignores
// queries that consume no error budget; see isExcludedFromBudget.
func (r *Recorder) Record(o Outcome) {
	if isExcludedFromBudget(o.RefusalReason) {
		return
	}
	now := time.Now()
	overall, objective, known := r.seriesFor(Key{Application: o.Application})
	if !known {
		return
	}
	good := o.RefusalReason == verdict.None && o.Latency <= objective.MaxLatency
	var spenders []Spender
	for _, part := range o.Parts {
		good = good && part.Answered
		if spender, missed := part.spender(objective.MaxLatency); missed {
			spenders = append(spenders, spender)
		}
	}
	if !good && len(spenders) == 0 {
		spenders = []Spender{{Zone: o.Zone, Reason: o.RefusalReason, Late: o.RefusalReason == verdict.None, Count: 1}}
	}
	r.add(overall, now, good, spenders)
	if len(o.Parts) == 0 {
		r.recordWithoutParts(o, now, good, spenders)
		return
	}
	r.recordServices(o, now)
}

// recordWithoutParts counts a query that was refused before it was split into parts, for every service of its
// application.
func (r *Recorder) recordWithoutParts(o Outcome, now time.Time, good bool, spenders []Spender) {
	r.mutex.RLock()
	services := r.services[o.Application]
	r.mutex.RUnlock()
	for _, service := range services {
		if s, _, known := r.seriesFor(Key{o.Application, service}); known {
			r.add(s, now, good, spenders)
		}
	}
}

// recordServices counts the query once for each service that it used. Only the parts of a service decide its outcome.
func (r *Recorder) recordServices(o Outcome, now time.Time) {
	parts := slices.Clone(o.Parts)
	slices.SortStableFunc(parts, func(a, b Part) int { return cmp.Compare(a.Service, b.Service) })
	for len(parts) > 0 {
		service := parts[0].Service
		end := 1
		for end < len(parts) && parts[end].Service == service {
			end++
		}
		s, objective, known := r.seriesFor(Key{o.Application, service})
		if known && service != "" {
			var spenders []Spender
			hasResult := false
			for _, part := range parts[:end] {
				hasResult = hasResult || part.Answered || part.Reason != verdict.Cancelled
				if spender, missed := part.spender(objective.MaxLatency); missed {
					spenders = append(spenders, spender)
				}
			}
			// All parts of a service are cancelled if another service made the query fail. That says nothing about this
			// service, so it is not counted.
			if hasResult {
				r.add(s, now, len(spenders) == 0, spenders)
			}
		}
		parts = parts[end:]
	}
}

// spender returns what the part adds to the spenders of an objective, and reports whether the part missed the
// objective: it is missing, or its answer took longer than maxLatency. A cancelled part misses no objective.
func (p Part) spender(maxLatency time.Duration) (Spender, bool) {
	late := p.Answered && p.Latency > maxLatency
	missing := !p.Answered && p.Reason != verdict.Cancelled
	return Spender{Shard: p.Shard, Server: p.Server, Zone: p.Zone, Reason: p.Reason, Late: late, Count: 1}, late || missing
}

// isExcludedFromBudget reports whether a query with this reason consumes no error budget, because the caller caused the
// refusal or cancelled the query, or because the query ran and only its result was dropped.
func isExcludedFromBudget(reason verdict.Reason) bool {
	switch reason {
	case verdict.InvalidRequest, verdict.UnknownApplication, verdict.UnknownShard, verdict.DeadlineTooShort,
		verdict.TicketUnknown, verdict.TicketReused, verdict.TicketExpired, verdict.Cancelled, verdict.Unauthorised,
		verdict.ResultDropped:
		return true
	default:
		return false
	}
}

// seriesFor returns the series and the objective of a key, and reports whether the catalogue has the objective. It
// creates the series on first use. The series is nil if maxSeries others exist.
func (r *Recorder) seriesFor(key Key) (*series, Objective, bool) {
	r.mutex.RLock()
	s, objective := r.series[key], r.objectives[key]
	_, known := r.objectives[key]
	r.mutex.RUnlock()
	if !known || s != nil {
		return s, objective, known
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// Update may have changed the objectives between the two locks.
	if objective, known = r.objectives[key]; !known {
		return nil, objective, false
	}
	if r.series[key] == nil && len(r.series) < maxSeries {
		r.series[key] = &series{objective: objective, maxSpenders: maxSpendersOf(key), since: r.started}
	}
	return r.series[key], objective, true
}

// add counts an outcome in a series; a nil series counts it as untracked.
func (r *Recorder) add(s *series, now time.Time, good bool, spenders []Spender) {
	if s == nil {
		r.mutex.Lock()
		r.untracked++
		r.mutex.Unlock()
		return
	}
	s.add(now, good, spenders)
}
