package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/configuration"
)

// TestOutages guards against a zone that seems to be out only since the last change of something else.
func TestOutages(t *testing.T) {
	is, start := is.New(t), time.Unix(1000, 0)
	var o outages
	out := catalogue.New(nil).WithZoneOut("zone-b", true).WithInstanceOut("entry-2", true)
	o.update(&configuration.View{Catalogue: out, Since: start})
	o.update(&configuration.View{Catalogue: out.WithZoneOut("zone-c", true).WithInstanceOut("entry-2", false), Since: start.Add(time.Minute)})
	is.Equal(o.zone("zone-b"), start)
	is.Equal(o.zone("zone-c"), start.Add(time.Minute))
	is.True(o.instance("entry-2").IsZero())
}
