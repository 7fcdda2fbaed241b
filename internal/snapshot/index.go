package snapshot

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
)

// KeyPrefix is the start of the store's key of an application's index; the application's name follows.
const KeyPrefix = "medlarlatch/index/"

// Index holds the versions of one application's index. It is immutable.
type Index struct {
	application string
	versions    []ShardMap // newest first
}

type indexDocument struct {
	Application string            `json:"application"`
	Versions    []versionDocument `json:"versions"`
}

type versionDocument struct {
	Version Version        `json:"version"`
	Shards  shardsDocument `json:"shards"`
}

// NewIndex returns the index of an application after checking it. The error joins all faults.
func NewIndex(application string, versions ...ShardMap) (*Index, error) {
	var faults []error
	if application == "" {
		faults = append(faults, errors.New("application: is empty"))
	}
	seen := make(map[Version]bool, len(versions))
	for i, shards := range versions {
		if shards.Version == 0 {
			faults = append(faults, fmt.Errorf("versions[%d].version: must be 1 or more", i))
		}
		if seen[shards.Version] {
			faults = append(faults, fmt.Errorf("versions[%d].version: %d is listed twice", i, shards.Version))
		}
		seen[shards.Version] = true
		if len(shards.Shards) == 0 {
			faults = append(faults, fmt.Errorf("versions[%d].shards: is empty", i))
		}
		for _, shard := range slices.Sorted(maps.Keys(shards.Shards)) {
			if shard == "" {
				faults = append(faults, fmt.Errorf("versions[%d].shards: a shard has an empty name", i))
			}
			if shards.Shards[shard] == "" {
				faults = append(faults, fmt.Errorf("versions[%d].shards.%s: names no service", i, shard))
			}
		}
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	sorted := slices.Clone(versions)
	slices.SortFunc(sorted, func(a, b ShardMap) int {
		if a.Version > b.Version {
			return -1
		}
		return 1
	})
	return &Index{application: application, versions: sorted}, nil
}

// ParseIndex parses and checks the value of an application's index key. The error joins all faults.
// Unknown keys are faults, so that a misspelt key is not silently ignored.
func ParseIndex(application string, data []byte) (*Index, error) {
	var document indexDocument
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		return nil, fmt.Errorf("index of %s: %w", application, err)
	}
	var faults []error
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		faults = append(faults, errors.New("text after the document"))
	}
	if document.Application != application {
		faults = append(faults, fmt.Errorf("application: is %q, the key says %q", document.Application, application))
	}
	versions := make([]ShardMap, 0, len(document.Versions))
	for _, version := range document.Versions {
		versions = append(versions, ShardMap{Version: version.Version, Shards: version.Shards})
	}
	index, err := NewIndex(document.Application, versions...)
	if err != nil {
		faults = append(faults, err)
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("index of %s: %w", application, errors.Join(faults...))
	}
	return index, nil
}

// Application returns the application's name.
func (x *Index) Application() string { return x.application }

// Versions returns the shard maps, the newest first. The caller does not change the slice.
func (x *Index) Versions() []ShardMap { return x.versions }

// Version returns the shard map of one version.
func (x *Index) Version(version Version) (ShardMap, bool) {
	for _, shards := range x.versions {
		if shards.Version == version {
			return shards, true
		}
	}
	return ShardMap{}, false
}
