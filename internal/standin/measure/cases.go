package measure

import (
	"context"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
)

// measuredCase is one case of the comparison: before makes a change before the load, after undoes it. Either may be
// nil.
type measuredCase struct {
	name          string
	before, after func(ctx context.Context, s *system) error
}

// cases returns the cases in the order of the tables; overload is measured separately.
func cases() []measuredCase {
	return []measuredCase{
		{name: "steady"},
		{"one replica in 40 20 times slow", setFaults("03-a", `{"slow-factor":20}`), setFaults("03-a", `{"slow-factor":1}`)},
		{"one replica frozen", setFaults("07-b", `{"frozen":true}`), setFaults("07-b", `{"frozen":false}`)},
		{"a server cold again", setFaults("05-a", `{"cold":true,"cold-crash":true}`), setFaults("05-a", `{"cold":false}`)},
		{"zone out, back after 4 s", takeZoneOutBriefly, nil},
		{"index repartitioned", publishSecondVersion, nil},
	}
}

// setFaults returns a function that sets faults of one server of each compared application.
func setFaults(server, faults string) func(context.Context, *system) error {
	return func(ctx context.Context, s *system) error {
		for _, application := range comparedApplications {
			if err := s.cluster.SetServerFaults(ctx, application+"-"+server, faults); err != nil {
				return err
			}
		}
		return nil
	}
}

// takeZoneOutBriefly takes zone-b out of service, and puts it back 4 s later while the load runs.
func takeZoneOutBriefly(ctx context.Context, s *system) error {
	setZoneOut := func(out bool) error {
		_, err := s.cluster.Edit(ctx, func(current catalogue.Catalogue) catalogue.Catalogue {
			return current.WithZoneOutOfService("zone-b", out)
		})
		return err
	}
	if err := setZoneOut(true); err != nil {
		return err
	}
	time.AfterFunc(4*time.Second, func() { _ = setZoneOut(false) })
	return nil
}

// publishSecondVersion publishes an index version with other partitions beside the first one, 1 s later while the load
// runs.
func publishSecondVersion(ctx context.Context, s *system) error {
	time.AfterFunc(time.Second, func() { _ = s.cluster.Publish(ctx, 1, 2) })
	return nil
}
