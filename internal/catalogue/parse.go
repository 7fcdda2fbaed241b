package catalogue

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/document"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// Faults lists everything that is wrong with a catalogue.
type Faults = document.Faults

// MaxBytes is the maximum size of a catalogue as text.
const MaxBytes = document.MaxBytes

// formatVersion is the version of the document format that this package reads and writes.
const formatVersion = 1

// MaxWriteIDs is the number of write ids that a document keeps.
const MaxWriteIDs = 32

const (
	kindService       = "service"
	kindZone          = "zone"
	kindInstance      = "instance"
	kindConfiguration = "configuration"
	sectionsAllowed   = "[configuration], [service NAME], [zone NAME], [instance NAME]"
)

// serviceKeys are the keys of a service section, all of them required.
var serviceKeys = []string{
	"owner", "application", "class", "idempotent", "slots", "connections", "connect-cost", "deadline",
	"coverage-floor", "below-floor", "latency-objective", "objective-percent",
}

// Parse parses a catalogue. file names the document in the faults. If there is any fault, the catalogue is empty.
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
	hasConfiguration := false
	for _, section := range reader.Sections() {
		kind, name, named := strings.Cut(section.Name, " ")
		name = strings.TrimSpace(name)
		if named && !document.IsName(name) {
			reader.AddFault(section.Name, "", "", "the section has no valid name", document.NameAllowed)
			continue
		}
		switch {
		case kind == kindConfiguration && !named:
			base = parseBaseRevision(section)
			writeIDs = parseConfiguration(section)
			hasConfiguration = true
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
			reader.AddFault(section.Name, "", "", "unknown section", sectionsAllowed)
		}
	}
	if !hasConfiguration {
		reader.AddFault(kindConfiguration, "format", "", "the key is missing", fmt.Sprint(formatVersion))
	}
	checkApplications(reader, services)
	if faults := reader.Faults(); len(faults) > 0 {
		return Catalogue{}, faults
	}
	parsed := New(services)
	parsed.zonesOutOfService, parsed.instancesOutOfService, parsed.writeIDs, parsed.base = zones, instances, writeIDs, base
	return parsed, nil
}

// parseConfiguration returns the write ids of the document, newest first.
func parseConfiguration(section *document.Section) []string {
	section.Choice("format", fmt.Sprint(formatVersion))
	ids := section.Identifiers("write-id", 1)
	recent := section.Identifiers("recent-write-ids", MaxWriteIDs)
	section.ReportUnknown("format", "write-id", "recent-write-ids", baseRevisionKey)
	if len(recent) > 0 && (len(ids) == 0 || recent[0] != ids[0]) {
		section.AddFault("recent-write-ids", "the first id is not the write-id", "the ids of the last writes, newest first")
		return nil
	}
	if len(recent) > 0 {
		return recent
	}
	return ids
}

// parseOut reports whether the zone or instance of the section is out of service.
func parseOut(section *document.Section) bool {
	state := section.Choice("state", "in", "out")
	section.ReportUnknown("state")
	return state == 1
}

func parseService(section *document.Section, id fleet.ServiceID) Service {
	s := Service{
		ID:               id,
		Owner:            section.RequiredName("owner"),
		Application:      ApplicationID(section.RequiredName("application")),
		Class:            Class(section.Choice("class", Interactive.String(), Settlement.String(), Batch.String())),
		Idempotent:       section.Choice("idempotent", "false", "true") == 1,
		Slots:            section.Integer("slots", 1, 1000),
		MaxConnections:   section.Integer("connections", 1, 10000),
		ConnectCost:      section.Duration("connect-cost", 0, 10*time.Second),
		Deadline:         section.Duration("deadline", time.Millisecond, 10*time.Minute),
		MinCoverage:      section.Number("coverage-floor", 0, 1),
		BelowFloor:       BelowFloor(section.Choice("below-floor", Refuse.String(), Partial.String())),
		LatencyObjective: section.Duration("latency-objective", time.Millisecond, 10*time.Minute),
		ObjectivePercent: section.Number("objective-percent", 50, 99.999),
	}
	section.ReportUnknown(serviceKeys...)
	if s.MaxConnections > 0 && s.Slots > s.MaxConnections {
		section.AddFault("slots", "more slots than connections", fmt.Sprintf("at most %d, the connections", s.MaxConnections))
	}
	if s.Deadline > 0 && s.LatencyObjective > s.Deadline {
		section.AddFault("latency-objective", "longer than the deadline", fmt.Sprintf("at most %s, the deadline", s.Deadline))
	}
	if s.Class == Settlement && s.Idempotent {
		section.AddFault("idempotent", "settlement work changes state", "false for class settlement")
	}
	return s
}

// sharedKey is a key that has the same value in all services of an application, because a query has only one value of
// each.
type sharedKey struct {
	key  string
	text func(Service) string
}

var sharedKeys = []sharedKey{
	{"class", func(s Service) string { return s.Class.String() }},
	{"idempotent", func(s Service) string { return fmt.Sprint(s.Idempotent) }},
	{"deadline", func(s Service) string { return s.Deadline.String() }},
	{"coverage-floor", func(s Service) string { return formatNumber(s.MinCoverage) }},
	{"below-floor", func(s Service) string { return s.BelowFloor.String() }},
}

// checkApplications reports the services that differ in a shared key from the first service of their application.
func checkApplications(reader *document.Reader, services []Service) {
	firstService := make(map[ApplicationID]Service)
	for _, s := range services {
		if s.Application == "" {
			continue
		}
		other, ok := firstService[s.Application]
		if !ok {
			firstService[s.Application] = s
			continue
		}
		for _, shared := range sharedKeys {
			if value, expected := shared.text(s), shared.text(other); value != expected {
				reader.AddFault(kindService+" "+string(s.ID), shared.key, value,
					fmt.Sprintf("contradicts [service %s] of the same application %s", other.ID, s.Application), expected)
			}
		}
	}
}

// WriteIDs returns the ids of the last writes, newest first. The caller must not modify the slice.
func (c Catalogue) WriteIDs() []string {
	return c.writeIDs
}

// WithWriteIDs returns a copy with these write ids, newest first. Only the first MaxWriteIDs are kept.
func (c Catalogue) WithWriteIDs(ids []string) Catalogue {
	c.writeIDs = slices.Clone(ids[:min(len(ids), MaxWriteIDs)])
	return c
}
