package standin

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/medlarlatch/medlarlatch/examples"
	"github.com/medlarlatch/medlarlatch/internal/catalogue"
)

// IndexKey is the store's key of an application's index versions.
func (a Application) IndexKey() string { return "medlarlatch/index/" + a.Name }

type indexVersion struct {
	Version uint64            `json:"version"`
	Shards  map[string]string `json:"shards"`
}

// IndexDocument is what an index publisher writes to the store: the shard maps of the versions, the newest first.
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
		panic(err) // strings and numbers always encode
	}
	return text
}

// Configuration is the part of the example catalogues that holds the applications, as an operator writes it, with the
// applications' deadlines.
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

// exampleServices returns the services of an application in the example catalogues, in the order of their names.
func exampleServices(application string) []catalogue.Service {
	var services []catalogue.Service
	for _, text := range []string{examples.Paddlemark, examples.Guaman} {
		parsed, faults := catalogue.Parse("example", text)
		if err := faults.Err(); err != nil {
			panic(err) // the examples are part of the program and checked by its tests
		}
		for _, id := range parsed.Application(catalogue.ApplicationID(application)) {
			service, _ := parsed.Service(id)
			services = append(services, service)
		}
	}
	return services
}
