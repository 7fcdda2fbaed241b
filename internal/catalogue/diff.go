package catalogue

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is one key whose value differs between two catalogues.
type Change struct {
	// Section is the name of the section, such as "service bib-index-01".
	Section string `json:"section"`
	Key     string `json:"key"`
	// Before and After are empty if that catalogue does not have the section.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Difference lists every change between two catalogues, in the order of sections and keys.
type Difference []Change

// String returns the changes as lines for people to read.
func (d Difference) String() string {
	if len(d) == 0 {
		return "no difference\n"
	}
	var text strings.Builder
	section := ""
	for _, change := range d {
		if change.Section != section {
			section = change.Section
			fmt.Fprintf(&text, "[%s]\n", section)
		}
		if change.Before != "" {
			fmt.Fprintf(&text, "- %s = %s\n", change.Key, change.Before)
		}
		if change.After != "" {
			fmt.Fprintf(&text, "+ %s = %s\n", change.Key, change.After)
		}
	}
	return text.String()
}

// Diff compares two catalogues. It leaves out the write ids, because every write changes them.
func Diff(before, after Catalogue) Difference {
	oldSections, newSections := before.sectionValues(), after.sectionValues()
	names := maps.Clone(oldSections)
	maps.Copy(names, newSections)
	changes := Difference{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		keys := serviceKeys
		if !strings.HasPrefix(name, kindService+" ") {
			keys = []string{"state"}
		}
		for i, key := range keys {
			oldValue, newValue := valueAt(oldSections[name], i), valueAt(newSections[name], i)
			if oldValue != newValue {
				changes = append(changes, Change{name, key, oldValue, newValue})
			}
		}
	}
	return changes
}

// valueAt returns values[i], or "" if values is shorter.
func valueAt(values []string, i int) string {
	if i < len(values) {
		return values[i]
	}
	return ""
}

// sectionValues returns the values of each section by the name of the section.
func (c Catalogue) sectionValues() map[string][]string {
	sections := make(map[string][]string, len(c.services))
	for id, service := range c.services {
		sections[kindService+" "+string(id)] = service.values()
	}
	for zone := range c.zonesOutOfService {
		sections[kindZone+" "+string(zone)] = []string{"out"}
	}
	for instance := range c.instancesOutOfService {
		sections[kindInstance+" "+string(instance)] = []string{"out"}
	}
	return sections
}
