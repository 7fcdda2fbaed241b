package catalogue

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is one key that differs between two catalogues.
type Change struct {
	// Section is the name of the section, such as "service bib-index-01".
	Section string `json:"section"`
	Key     string `json:"key"`
	// Before and After are empty where the section is missing.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Difference is every change between two catalogues, in the order of sections and keys.
type Difference []Change

// String returns the changes as lines for people.
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

// Diff compares two catalogues. Write ids are left out, because every write changes them.
func Diff(before, after Catalogue) Difference {
	left, right := before.flat(), after.flat()
	names := maps.Clone(left)
	maps.Copy(names, right)
	changes := Difference{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		keys := serviceKeys
		if !strings.HasPrefix(name, kindService+" ") {
			keys = []string{"state"}
		}
		for i, key := range keys {
			was, is := at(left[name], i), at(right[name], i)
			if was != is {
				changes = append(changes, Change{name, key, was, is})
			}
		}
	}
	return changes
}

func at(values []string, i int) string {
	if i < len(values) {
		return values[i]
	}
	return ""
}

// flat returns the values of each section by its name.
func (c Catalogue) flat() map[string][]string {
	sections := make(map[string][]string, len(c.services))
	for id, service := range c.services {
		sections[kindService+" "+string(id)] = service.values()
	}
	for zone := range c.zonesOut {
		sections[kindZone+" "+string(zone)] = []string{"out"}
	}
	for instance := range c.instancesOut {
		sections[kindInstance+" "+string(instance)] = []string{"out"}
	}
	return sections
}
