package catalogue

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/document"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// Faults tells everything that is wrong with a catalogue.
type Faults = document.Faults

// MaxBytes is the largest catalogue as text.
const MaxBytes = document.MaxBytes

// formatVersion is the format of the document that this package reads and writes.
const formatVersion = 1

// MaxWriteIDs is the number of write ids that a document remembers.
const MaxWriteIDs = 32

const (
	kindService       = "service"
	kindZone          = "zone"
	kindInstance      = "instance"
	kindConfiguration = "configuration"
	sectionsAllowed   = "[configuration], [service NAME], [zone NAME], [instance NAME]"
)

var serviceKeys = []string{
	"owner", "application", "class", "idempotent", "slots", "connections", "connect-cost", "deadline",
	"coverage-floor", "below-floor", "latency-objective", "objective-percent",
}

// Parse reads a catalogue. With any fault the catalogue is empty.
func Parse(file, text string) (Catalogue, Faults) {
	reader := document.NewReader(file, text)
	if len(text) > MaxBytes {
		return Catalogue{}, reader.Faults()
	}
	var services []Service
	zones := make(map[fleet.ZoneID]bool)
	instances := make(map[fleet.InstanceID]bool)
	var writeIDs []string
	var base BaseRevision
	formatted := false
	for _, section := range reader.Sections() {
		kind, name, named := strings.Cut(section.Name, " ")
		name = strings.TrimSpace(name)
		if named && !document.IsName(name) {
			reader.Add(section.Name, "", "", "the section has no valid name", document.NameAllowed)
			continue
		}
		switch {
		case kind == kindConfiguration && !named:
			base = parseBase(section)
			writeIDs = parseConfiguration(section)
			formatted = true
		case kind == kindService && named:
			services = append(services, parseService(section, fleet.ServiceID(name)))
		case kind == kindZone && named:
			if parseOut(section) {
				zones[fleet.ZoneID(name)] = true
			}
		case kind == kindInstance && named:
			if parseOut(section) {
				instances[fleet.InstanceID(name)] = true
			}
		default:
			reader.Add(section.Name, "", "", "unknown section", sectionsAllowed)
		}
	}
	if !formatted {
		reader.Add(kindConfiguration, "format", "", "the key is missing", fmt.Sprint(formatVersion))
	}
	checkApplications(reader, services)
	if faults := reader.Faults(); len(faults) > 0 {
		return Catalogue{}, faults
	}
	parsed := New(services)
	parsed.zonesOut, parsed.instancesOut, parsed.writeIDs, parsed.base = zones, instances, writeIDs, base
	return parsed, nil
}

func parseConfiguration(section *document.Section) []string {
	section.Choice("format", fmt.Sprint(formatVersion))
	ids := section.Words("write-id", 1)
	recent := section.Words("recent-write-ids", MaxWriteIDs)
	section.ReportUnknown("format", "write-id", "recent-write-ids", keyBase)
	if len(recent) > 0 && (len(ids) == 0 || recent[0] != ids[0]) {
		section.Add("recent-write-ids", "the first id is not the write-id", "the ids of the last writes, newest first")
		return nil
	}
	if len(recent) > 0 {
		return recent
	}
	return ids
}

func parseOut(section *document.Section) bool {
	state := section.Choice("state", "in", "out")
	section.ReportUnknown("state")
	return state == 1
}

func parseService(section *document.Section, id fleet.ServiceID) Service {
	s := Service{
		ID:               id,
		Owner:            section.Key("owner"),
		Application:      ApplicationID(section.Key("application")),
		Class:            Class(section.Choice("class", Interactive.String(), Settlement.String(), Batch.String())),
		Idempotent:       section.Choice("idempotent", "false", "true") == 1,
		Slots:            section.Integer("slots", 1, 1000),
		Connections:      section.Integer("connections", 1, 10000),
		ConnectCost:      section.Duration("connect-cost", 0, 10*time.Second),
		Deadline:         section.Duration("deadline", time.Millisecond, 10*time.Minute),
		CoverageFloor:    section.Number("coverage-floor", 0, 1),
		BelowFloor:       BelowFloor(section.Choice("below-floor", Refuse.String(), Partial.String())),
		LatencyObjective: section.Duration("latency-objective", time.Millisecond, 10*time.Minute),
		ObjectivePercent: section.Number("objective-percent", 50, 99.999),
	}
	section.ReportUnknown(serviceKeys...)
	if s.Connections > 0 && s.Slots > s.Connections {
		section.Add("slots", "more slots than connections", fmt.Sprintf("at most %d, the connections", s.Connections))
	}
	if s.Deadline > 0 && s.LatencyObjective > s.Deadline {
		section.Add("latency-objective", "longer than the deadline", fmt.Sprintf("at most %s, the deadline", s.Deadline))
	}
	if s.Class == Settlement && s.Idempotent {
		section.Add("idempotent", "settlement work changes state", "false for class settlement")
	}
	return s
}

// agreement is a key on which the services of an application agree: one query has one of each.
type agreement struct {
	key  string
	text func(Service) string
}

var agreements = []agreement{
	{"class", func(s Service) string { return s.Class.String() }},
	{"idempotent", func(s Service) string { return fmt.Sprint(s.Idempotent) }},
	{"deadline", func(s Service) string { return s.Deadline.String() }},
	{"coverage-floor", func(s Service) string { return number(s.CoverageFloor) }},
	{"below-floor", func(s Service) string { return s.BelowFloor.String() }},
}

func checkApplications(reader *document.Reader, services []Service) {
	first := make(map[ApplicationID]Service)
	for _, s := range services {
		if s.Application == "" {
			continue
		}
		other, ok := first[s.Application]
		if !ok {
			first[s.Application] = s
			continue
		}
		for _, a := range agreements {
			if here, there := a.text(s), a.text(other); here != there {
				reader.Add(kindService+" "+string(s.ID), a.key, here,
					fmt.Sprintf("contradicts [service %s] of the same application %s", other.ID, s.Application), there)
			}
		}
	}
}

// WriteIDs returns the ids of the last writes, newest first. The caller does not change the slice.
func (c Catalogue) WriteIDs() []string {
	return c.writeIDs
}

// WithWriteIDs returns a copy with these write ids, newest first; only the first MaxWriteIDs are kept.
func (c Catalogue) WithWriteIDs(ids []string) Catalogue {
	c.writeIDs = slices.Clone(ids[:min(len(ids), MaxWriteIDs)])
	return c
}
