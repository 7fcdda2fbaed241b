package coordination_test

import (
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/coordination"
	"github.com/medlarlatch/medlarlatch/internal/standin/inprocess"
)

// TestUnusableLists guards against a malformed list that is used as the fleet, in whole or in part, and against an
// error that does not name the item at fault.
func TestUnusableLists(t *testing.T) {
	const (
		entry  = `{"id":"entry-1","kind":"entry","zone":"zone-a","peers":"10.0.0.1:1","operators":"10.0.0.1:2","state":"live"}`
		server = `{"id":"bib-1","kind":"backend-server","zone":"zone-a","service":"bib","address":"10.0.0.2:1","state":"live"}`
	)
	with := func(before, after string) string { return strings.Replace(server, before, after, 1) }
	cases := map[string]struct{ line, want string }{
		"good":                {server, ""},
		"entry twice":         {entry, `"entry-1" in zone "zone-a" is not valid or occurs twice`},
		"server twice":        {server + "," + server, `"bib-1" in zone "zone-a" is not valid or occurs twice`},
		"twice, in two zones": {server + "," + with("zone-a", "zone-b"), `"bib-1" in zone "zone-b" is not valid or occurs twice`},
		"no id":               {with("bib-1", ""), `"" in zone "zone-a"`},
		"id with a line end":  {with("bib-1", `a\nb`), `"a\nb" in zone "zone-a"`},
		"long id":             {with("bib-1", strings.Repeat("x", 64)), "xxx"},
		"no zone":             {with("zone-a", ""), `"bib-1" in zone ""`},
		"unknown kind":        {with("backend-server", "cache"), `"bib-1" of kind "cache"`},
		"unknown state":       {with("live", "lost"), `"bib-1" has the unknown state "lost"`},
		"no state":            {with(`,"state":"live"`, ""), `"bib-1" has the unknown state ""`},
		"host name":           {with("10.0.0.2", "bib-1"), `"bib-1" of kind "backend-server" has no valid address`},
		"port above 65535":    {with("10.0.0.2:1", "10.0.0.2:65536"), "no valid address"},
		"no service":          {with(`"bib"`, `""`), "no valid address or service"},
		"entry without peers": {strings.Replace(strings.Replace(entry, "entry-1", "entry-2", 1), "10.0.0.1:1", "", 1), `"entry-2" of kind "entry"`},
		"id is a number":      {with(`"bib-1"`, "1"), "cannot unmarshal number"},
		"line is text":        {`"bib-1"`, "cannot unmarshal string"},
		"line is null":        {"null", `"" in zone ""`},
		"cut short":           {`{"id":`, "invalid character"},
		"text after the list": {server + "]}{", "invalid character"},
		"longer than 16 MiB":  {server + strings.Repeat(" ", 16<<20), "more than 16777216 bytes"},
		"deep":                {strings.Repeat("[", 20_000), "max depth"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				check := is.New(t)
				adapter := coordination.NewInstances("http://list", options(inprocess.Client(respondWith(200, `{"instances":[`+entry+","+c.line+"]}"))))
				entries, servers, err := adapter.Poll(t.Context())
				if c.want == "" {
					check.NoErr(err)
					check.Equal(len(entries)+len(servers), 2)
					return
				}
				check.Equal(len(entries)+len(servers), 0)
				if err == nil || !strings.Contains(err.Error(), c.want) {
					t.Errorf("%.300v does not say %q", err, c.want)
				}
			})
		})
	}
}
