package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/configuration"
)

// TestOutOfServiceTimes guards against a time out of service whose start is reset by a change of the configuration that
// does not concern it.
func TestOutOfServiceTimes(t *testing.T) {
	is, start := is.New(t), time.Unix(1000, 0)
	var o outOfServiceTimes
	out := catalogue.New(nil).WithZoneOutOfService("zone-b", true).WithInstanceOutOfService("entry-2", true)
	o.update(&configuration.View{Catalogue: out, Since: start})
	o.update(&configuration.View{Catalogue: out.WithZoneOutOfService("zone-c", true).WithInstanceOutOfService("entry-2", false), Since: start.Add(time.Minute)})
	is.Equal(o.zoneSince("zone-b"), start)
	is.Equal(o.zoneSince("zone-c"), start.Add(time.Minute))
	is.True(o.instanceSince("entry-2").IsZero())
}
