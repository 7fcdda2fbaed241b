package snapshot

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// Guards against an index that is taken with a fault in it, and against faults shown one at a time.
func TestParseIndex(t *testing.T) {
	cases := map[string]struct {
		text   string
		faults []string
	}{
		"good": {text: `{"application":"race","versions":[{"version":1,"shards":{"a":"x"}},{"version":7,"shards":{"a":"y"}}]}`},
		"all faults": {
			text: `{"application":"other","versions":[{"version":0,"shards":{}},{"version":2,"shards":{"a":""}},{"version":2,"shards":{"":"x"}}]} 1`,
			faults: []string{
				"application: is \"other\"", "versions[0].version: must be", "versions[0].shards: is empty",
				"versions[1].shards.a: names no service", "versions[2].version: 2 is listed twice", "empty name", "text after",
			},
		},
		"unknown key": {text: `{"application":"race","shards":{}}`, faults: []string{"unknown field"}},
		"not JSON":    {text: `{`, faults: []string{"unexpected EOF"}},
		"empty":       {text: ``, faults: []string{"EOF"}},
		"null":        {text: `null`, faults: []string{"application: is empty"}},
		"shard twice": {
			text:   `{"application":"race","versions":[{"version":1,"shards":{"a":"x","b":"y","a":"y"}}]}`,
			faults: []string{"3 names for 2 shards"},
		},
		"shards is a list": {text: `{"application":"race","versions":[{"version":1,"shards":["a"]}]}`, faults: []string{"cannot unmarshal array"}},
		"service is no text": {
			text: `{"application":"race","versions":[{"version":1,"shards":{"a":1}}]}`, faults: []string{"cannot unmarshal number"},
		},
		"no shards":         {text: `{"application":"race","versions":[{"version":1}]}`, faults: []string{"versions[0].shards: is empty"}},
		"version below 0":   {text: `{"application":"race","versions":[{"version":-1,"shards":{"a":"x"}}]}`, faults: []string{"cannot unmarshal number -1"}},
		"version in quotes": {text: `{"application":"race","versions":[{"version":"1","shards":{"a":"x"}}]}`, faults: []string{"cannot unmarshal string"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			index, err := ParseIndex("race", []byte(c.text))
			if len(c.faults) == 0 {
				is.NoErr(err)
				is.Equal(index.Versions()[0].Version, Version(7))
				return
			}
			for _, fault := range c.faults {
				if err == nil || !strings.Contains(err.Error(), fault) {
					t.Errorf("%v does not report %q", err, fault)
				}
			}
		})
	}
}

// Guards against pinning a version that cannot be answered whole while another can.
func TestPin(t *testing.T) {
	index, err := NewIndex("race",
		ShardMap{Version: 1, Shards: map[ShardID]fleet.ServiceID{"a": "x", "b": "y"}},
		ShardMap{Version: 2, Shards: map[ShardID]fleet.ServiceID{"a": "x", "b": "y", "c": "z"}},
	)
	is.New(t).NoErr(err)
	type beliefs map[fleet.ServiceID]Belief
	cases := map[string]struct {
		first, second beliefs
		asked         []ShardID
		trial         bool
		want          Version
		whole         bool
	}{
		"newest whole":           {beliefs{"x": Holds, "y": Holds}, beliefs{"x": Holds, "y": Holds, "z": Holds}, nil, false, 2, true},
		"newest lacks a shard":   {beliefs{"x": Holds, "y": Holds}, beliefs{"x": Holds, "y": Holds}, nil, false, 1, true},
		"newest not confirmed":   {beliefs{"x": Holds, "y": Holds}, beliefs{"x": Holds, "y": Holds, "z": Unknown}, nil, false, 1, true},
		"trial of the newest":    {beliefs{"x": Holds, "y": Holds}, beliefs{"x": Holds, "y": Holds, "z": Unknown}, nil, true, 2, true},
		"nothing known":          {beliefs{"x": Unknown, "y": Unknown}, beliefs{"x": Unknown, "y": Unknown, "z": Unknown}, nil, false, 2, true},
		"none whole":             {beliefs{"x": Holds}, beliefs{"x": Holds, "z": Holds}, nil, false, 2, false},
		"only the asked shards":  {beliefs{"x": Holds}, beliefs{"x": Lacks}, []ShardID{"a"}, false, 1, true},
		"asked only in a newer":  {beliefs{"x": Holds}, beliefs{"z": Holds}, []ShardID{"c"}, false, 2, true},
		"asked shard is unknown": {beliefs{}, beliefs{}, []ShardID{"d"}, false, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			choice, ok := index.Pin(c.asked, c.trial, nil, func(service fleet.ServiceID, version Version) Belief {
				if version == 1 {
					return c.first[service]
				}
				return c.second[service]
			})
			is.Equal(ok, c.want != 0)
			is.Equal(choice.Version, c.want)
			is.Equal(choice.Whole, c.whole)
		})
	}
}

// Guards against old answers, hints and lists that bring back a version that the replica refused.
func TestHolding(t *testing.T) {
	is := is.New(t)
	at := func(after time.Duration) time.Time { return time.Unix(1000, 0).Add(after) }
	holding := NewHoldings().Of("s1")
	is.Equal(holding.Belief(1, at(0)), Unknown)
	holding.Hint([]Version{1}, at(0))
	is.Equal(holding.Belief(1, at(0)), Holds)
	holding.Observe([]Version{1, 2}, at(time.Second))
	is.Equal(holding.Belief(2, at(time.Second)), Holds)
	holding.Withdraw(1, at(2*time.Second))
	is.Equal(holding.Belief(1, at(2*time.Second)), Lacks)
	is.Equal(holding.Belief(2, at(2*time.Second)), Holds)
	holding.Observe([]Version{1, 2}, at(time.Second)) // an older attempt
	is.Equal(holding.Belief(1, at(2*time.Second)), Lacks)
	holding.Hint([]Version{1, 2}, at(3*time.Second)) // the state endpoint lags
	is.Equal(holding.Belief(1, at(3*time.Second)), Lacks)
	is.Equal(holding.Belief(1, at(20*time.Second)), Unknown)
	holding.Hint([]Version{1, 2}, at(20*time.Second))
	is.Equal(holding.Belief(1, at(20*time.Second)), Holds)
}
