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

// IndexKeyPrefix is the prefix of the store keys of indexes; the application's name follows it.
const IndexKeyPrefix = "medlarlatch/index/"

// Index holds the versions of one application's index. It is immutable, and therefore safe for concurrent use.
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

// NewIndex validates the versions of an application's index and returns the Index. The error joins all problems found.
func NewIndex(application string, versions ...ShardMap) (*Index, error) {
	var errs []error
	if application == "" {
		errs = append(errs, errors.New("application: is empty"))
	}
	seen := make(map[Version]bool, len(versions))
	for i, shards := range versions {
		if shards.Version == 0 {
			errs = append(errs, fmt.Errorf("versions[%d].version: must be 1 or more", i))
		}
		if seen[shards.Version] {
			errs = append(errs, fmt.Errorf("versions[%d].version: %d is listed twice", i, shards.Version))
		}
		seen[shards.Version] = true
		if len(shards.Shards) == 0 {
			errs = append(errs, fmt.Errorf("versions[%d].shards: is empty", i))
		}
		for _, shard := range slices.Sorted(maps.Keys(shards.Shards)) {
			if shard == "" {
				errs = append(errs, fmt.Errorf("versions[%d].shards: a shard has an empty name", i))
			}
			if shards.Shards[shard] == "" {
				errs = append(errs, fmt.Errorf("versions[%d].shards.%s: the service name is empty", i, shard))
			}
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
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

// ParseIndex parses and validates the value of an application's index key. The error joins all problems found in a
// document that can be decoded. Unknown JSON keys are errors, so that a misspelt key is not silently ignored.
func ParseIndex(application string, data []byte) (*Index, error) {
	var document indexDocument
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		return nil, fmt.Errorf("index of %s: %w", application, err)
	}
	var errs []error
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		errs = append(errs, errors.New("text after the document"))
	}
	if document.Application != application {
		errs = append(errs, fmt.Errorf("application: is %q, the store key names %q", document.Application, application))
	}
	versions := make([]ShardMap, 0, len(document.Versions))
	for _, version := range document.Versions {
		versions = append(versions, ShardMap{Version: version.Version, Shards: version.Shards})
	}
	index, err := NewIndex(document.Application, versions...)
	if err != nil {
		errs = append(errs, err)
	}
	if len(errs) > 0 {
		return nil, fmt.Errorf("index of %s: %w", application, errors.Join(errs...))
	}
	return index, nil
}

// Application returns the name of the application.
func (x *Index) Application() string { return x.application }

// Versions returns the shard maps, the newest first. The caller must not change the slice.
func (x *Index) Versions() []ShardMap { return x.versions }

// Version returns the shard map of the given version, and false if the index does not have it.
func (x *Index) Version(version Version) (ShardMap, bool) {
	for _, shards := range x.versions {
		if shards.Version == version {
			return shards, true
		}
	}
	return ShardMap{}, false
}
