package measure

import (
	"context"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
)

// experiment is one case: a change before the load and one after it.
type experiment struct {
	name          string
	before, after func(ctx context.Context, s *system) error
}

func cases() []experiment {
	return []experiment{
		{name: "steady"},
		{"one replica in 40 20 times slow", fault("03-a", `{"slow-factor":20}`), fault("03-a", `{"slow-factor":1}`)},
		{"one replica frozen", fault("07-b", `{"frozen":true}`), fault("07-b", `{"frozen":false}`)},
		{"a server cold again", fault("05-a", `{"cold":true,"cold-crash":true}`), fault("05-a", `{"cold":false}`)},
		{"zone out, back after 4 s", zoneOutAndIn, nil},
		{"index repartitioned", publish, nil},
	}
}

// fault changes a server of each compared application.
func fault(server, faults string) func(context.Context, *system) error {
	return func(ctx context.Context, s *system) error {
		for _, application := range compared {
			if err := s.cluster.Fault(ctx, application+"-"+server, faults); err != nil {
				return err
			}
		}
		return nil
	}
}

func zoneOutAndIn(ctx context.Context, s *system) error {
	set := func(out bool) error {
		_, err := s.cluster.Edit(ctx, func(current catalogue.Catalogue) catalogue.Catalogue { return current.WithZoneOut("zone-b", out) })
		return err
	}
	if err := set(true); err != nil {
		return err
	}
	time.AfterFunc(4*time.Second, func() { _ = set(false) })
	return nil
}

// publish lists another version with other partitions beside the first while queries run.
func publish(ctx context.Context, s *system) error {
	time.AfterFunc(time.Second, func() { _ = s.cluster.Publish(ctx, 1, 2) })
	return nil
}
