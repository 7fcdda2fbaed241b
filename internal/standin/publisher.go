package standin

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/medlarlatch/medlarlatch/examples"
	"github.com/medlarlatch/medlarlatch/internal/catalogue"
)

// IndexKey returns the key in the store of the application's index document.
func (a Application) IndexKey() string { return "medlarlatch/index/" + a.Name }

// indexVersion is the shard map of one index version.
type indexVersion struct {
	Version uint64            `json:"version"`
	Shards  map[string]string `json:"shards"`
}

// IndexDocument returns the document that an index publisher writes to the store: the shard maps of the versions,
// newest first.
func (a Application) IndexDocument(versions ...uint64) []byte {
	versions = slices.Clone(versions)
	slices.Sort(versions)
	slices.Reverse(versions)
	document := struct {
		Application string         `json:"application"`
		Versions    []indexVersion `json:"versions"`
	}{Application: a.Name}
	for _, version := range versions {
		document.Versions = append(document.Versions, indexVersion{version, a.Index(version)})
	}
	text, err := json.Marshal(document)
	if err != nil {
		panic(err) // cannot happen: strings and numbers always encode
	}
	return text
}

// Configuration returns a catalogue with the services of the applications from the example catalogues, formatted as the
// store holds it. The deadlines are those of the applications passed, which may differ from the examples.
func Configuration(applications []Application) string {
	var services []catalogue.Service
	for _, application := range applications {
		for _, service := range exampleServices(application.Name) {
			service.Deadline = time.Duration(application.DeadlineMillis) * time.Millisecond
			services = append(services, service)
		}
	}
	return catalogue.New(services).Format()
}

// exampleServices returns the services of an application in the example catalogues, in order of their names.
func exampleServices(application string) []catalogue.Service {
	var services []catalogue.Service
	for _, text := range []string{examples.Paddlemark, examples.Guaman} {
		parsed, problems := catalogue.Parse("example", text)
		if err := problems.Err(); err != nil {
			panic(err) // cannot happen: the examples are embedded in the program and checked by its tests
		}
		for _, id := range parsed.Application(catalogue.ApplicationID(application)) {
			service, _ := parsed.Service(id)
			services = append(services, service)
		}
	}
	return services
}
