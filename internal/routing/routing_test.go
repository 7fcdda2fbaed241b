package routing

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// TestMatch guards against a request that is matched to a shorter prefix or another host's route, and against one that
// matches a route and finds none.
func TestMatch(t *testing.T) {
	table := New(1, []*Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "A.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/y/z/"},
	}, nil, Limits{}, nil)
	for name, test := range map[string]struct{ host, path, route string }{
		"longest prefix":  {"a.example", "/x/y/z", "long"},
		"shorter prefix":  {"a.example", "/x/z", "short"},
		"case and port":   {"A.EXAMPLE:8080", "/x/", "short"},
		"without slash":   {"a.example", "/x", ""},
		"another host":    {"b.example", "/x/y/", ""},
		"unknown host":    {"c.example", "/x/", ""},
		"prefix mid-path": {"a.example", "/q/x/", ""},
	} {
		t.Run(name, func(t *testing.T) {
			found := ""
			if route := table.Match(test.host, test.path); route != nil {
				found = route.Name
			}
			is.New(t).Equal(found, test.route)
		})
	}
}

// TestWeightedDistribution guards against a service whose share of a short run of requests deviates from its weight,
// also if a new version of the configuration arrives every few requests.
func TestWeightedDistribution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 20), 2, 5).Draw(t, "weights")
		weights[0] = max(weights[0], 1)
		shares := make([]WeightedService, len(weights))
		total := 0
		for i, weight := range weights {
			shares[i] = WeightedService{Service: fleet.ServiceID('a' + rune(i)), Weight: weight}
			total += weight
		}
		table := New(1, []*Route{{Name: "r", Host: "h", PathPrefix: "/", WeightedServices: shares}}, nil, Limits{}, nil)
		count := make(map[fleet.ServiceID]int)
		requests := rapid.IntRange(1, 400).Draw(t, "requests")
		every := rapid.IntRange(1, 8).Draw(t, "requests between versions")
		for i := range requests {
			if i%every == 0 {
				table = New(2, []*Route{{Name: "r", Host: "h", PathPrefix: "/", WeightedServices: shares}}, nil, Limits{}, table)
			}
			count[table.Match("h", "/").ChooseService()]++
		}
		for _, share := range shares {
			exact := float64(requests*share.Weight) / float64(total)
			if off := float64(count[share.Service]) - exact; off > float64(len(shares)) || off < -float64(len(shares)) {
				t.Fatalf("%s got %d of %d, weight %d of %d", share.Service, count[share.Service], requests, share.Weight, total)
			}
		}
	})
}

// TestAllWeightsZero guards against a panic, and against a request to a service of weight 0, when all weights of a
// route are 0.
func TestAllWeightsZero(t *testing.T) {
	is := is.New(t)
	r := &Route{WeightedServices: []WeightedService{{Service: "a"}, {Service: "b"}}}
	is.Equal(r.ChooseService(), fleet.ServiceID(""))
}
