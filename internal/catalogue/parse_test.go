package catalogue

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const valid = `[configuration]
format = 1
[service bib-index-01]
owner = race-control
application = marshal-search
class = interactive            ; a comment
idempotent = true
slots = 3
connections = 30
connect-cost = 6ms
deadline = 140ms
coverage-floor = 0.95
below-floor = refuse
latency-objective = 100ms
objective-percent = 99
[zone zone-b]
state = out
[zone zone-c]
state = in
[instance entry-2]
state = out
`

// TestParse guards against accepting a catalogue with an error in it, and against reporting only some of its faults.
func TestParse(t *testing.T) {
	cases := map[string]struct {
		text string
		want []string
	}{
		"valid":           {valid, nil},
		"unknown section": {valid + "[zones zone-b]\nstate = out\n", []string{"f: [zones zone-b]: unknown section; allowed: [configuration], [service NAME], [zone NAME], [instance NAME]"}},
		"unknown key":     {strings.Replace(valid, "slots = 3", "slots = 3\nslot = 3", 1), []string{"f: [service bib-index-01] slot = 3: unknown key"}},
		"section twice":   {valid + "[zone zone-b]\nstate = out\n", []string{"the section occurs more than once"}},
		"key twice":       {strings.Replace(valid, "slots = 3", "slots = 3\nslots = 4", 1), []string{"slots: the key occurs 2 times"}},
		"missing":         {strings.Replace(valid, "slots = 3\n", "", 1), []string{"slots: the key is missing; allowed: a whole number from 1 to 1000"}},
		"no format":       {strings.Replace(valid, "format = 1", "", 1), []string{"format: the key is missing; allowed: 1"}},
		"not a line":      {valid + "slots\n\"\"\"\n", []string{"f: line 22 = slots: the line is not readable", "line 23 = \"\"\": the line"}},
		"several": {
			strings.NewReplacer("slots = 3", "slots = 0", "140ms", "140", "0.95", "NaN", "interactive", "fast").Replace(valid),
			[]string{"class = fast: not one of", "slots = 0: out of range", "deadline = 140: not a duration", "coverage-floor = NaN: not a number"},
		},
		"settlement hedged": {strings.Replace(valid, "interactive", "settlement", 1), []string{"idempotent = true: settlement work changes state; allowed: false"}},
		"slots":             {strings.Replace(valid, "slots = 3", "slots = 31", 1), []string{"more slots than connections; allowed: at most 30"}},
		"contradiction": {
			valid + strings.NewReplacer("-01", "-02", "140ms", "200ms", "0.95", "0.9", "[configuration]\nformat = 1\n", "").Replace(valid[:strings.Index(valid, "[zone")]),
			[]string{"[service bib-index-02] deadline = 200ms: contradicts [service bib-index-01]", "coverage-floor = 0.9: contradicts"},
		},
		"largest":   {valid + strings.Repeat(";", MaxBytes-len(valid)), nil},
		"too large": {valid + strings.Repeat(";", MaxBytes-len(valid)+1), []string{"the document has 1000001 bytes; allowed: at most 1000000 bytes"}},
		"below-floor, class and idempotent differ": {
			valid + strings.NewReplacer("-01", "-02", "refuse", "partial", "interactive", "batch", "true", "false",
				"[configuration]\nformat = 1\n", "").Replace(valid[:strings.Index(valid, "[zone")]),
			[]string{"class = batch: contradicts", "idempotent = false: contradicts", "below-floor = partial: contradicts"},
		},
		"zone in and out": {valid + "[zone zone-d]\nstate = in\nstate = out\n", []string{"[zone zone-d] state: the key occurs 2 times"}},
		"objective":       {strings.Replace(valid, "100ms", "150ms", 1), []string{"latency-objective = 150ms: longer than the deadline; allowed: at most 140ms"}},
		"base revision":   {strings.Replace(valid, "format = 1", "format = 1\nbase-revision = -1", 1), []string{"base-revision = -1: out of range"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			parsed, faults := Parse("f", tc.text)
			is.Equal(len(faults), len(tc.want)) // every fault, and no other
			for i, want := range tc.want {
				if !strings.Contains(faults[i].String(), want) {
					t.Errorf("fault %q does not contain %q", faults[i], want)
				}
			}
			if tc.want == nil {
				is.True(parsed.ZoneOutOfService("zone-b") && !parsed.ZoneOutOfService("zone-c") && parsed.InstanceOutOfService("entry-2"))
			}
		})
	}
}

// TestExamples guards against example catalogues that lack services of the deployments or cannot be parsed.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/catalogue.ini")
	is.New(t).NoErr(err)
	is.New(t).Equal(len(files), 2)
	for _, file := range files {
		t.Run(file, func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(file)
			is.NoErr(err)
			parsed, faults := Parse(file, string(text))
			is.NoErr(faults.Err())
			is.Equal(len(parsed.Services()), 52)
			is.Equal(len(parsed.Applications()), 4)
			is.True(len(parsed.Format()) < 32_000)
		})
	}
}

// TestDiff guards against a diff that leaves out a change.
func TestDiff(t *testing.T) {
	is := is.New(t)
	before, faults := Parse("f", valid)
	is.NoErr(faults.Err())
	after, faults := Parse("f", strings.NewReplacer("slots = 3", "slots = 4", "[zone zone-b]\nstate = out", "").Replace(valid))
	is.NoErr(faults.Err())
	is.Equal(Diff(before, after).String(), "[service bib-index-01]\n- slots = 3\n+ slots = 4\n[zone zone-b]\n- state = out\n")
	is.Equal(Diff(before, before.WithWriteIDs([]string{"a"})), Difference{})
}

// FuzzParse guards against a panic, and against a text whose meaning changes when it is parsed and formatted again.
func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Add("[service a.b]\n[service a]\nx=1")
	f.Add("a = \"\"\"\n[zone %(x)s]")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, faults := Parse("f", text)
		if len(faults) > 0 {
			return
		}
		formatted := parsed.Format()
		again, faults := Parse("f", formatted)
		if err := faults.Err(); err != nil {
			t.Fatalf("%v in\n%s", err, formatted)
		}
		if again.Format() != formatted || len(Diff(parsed, again)) > 0 {
			t.Fatalf("%s\nbecame\n%s", formatted, again.Format())
		}
	})
}
