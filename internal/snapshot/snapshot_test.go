package snapshot

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// TestParseIndex guards against accepting an invalid index, and against an error that reports only the first of several
// problems.
func TestParseIndex(t *testing.T) {
	cases := map[string]struct {
		text       string
		wantErrors []string
	}{
		"good": {text: `{"application":"race","versions":[{"version":1,"shards":{"a":"x"}},{"version":7,"shards":{"a":"y"}}]}`},
		"all faults": {
			text: `{"application":"other","versions":[{"version":0,"shards":{}},{"version":2,"shards":{"a":""}},{"version":2,"shards":{"":"x"}}]} 1`,
			wantErrors: []string{
				"application: is \"other\"", "versions[0].version: must be", "versions[0].shards: is empty",
				"versions[1].shards.a: the service name is empty", "versions[2].version: 2 is listed twice", "empty name", "text after",
			},
		},
		"unknown key": {text: `{"application":"race","shards":{}}`, wantErrors: []string{"unknown field"}},
		"not JSON":    {text: `{`, wantErrors: []string{"unexpected EOF"}},
		"empty":       {text: ``, wantErrors: []string{"EOF"}},
		"null":        {text: `null`, wantErrors: []string{"application: is empty"}},
		"shard twice": {
			text:       `{"application":"race","versions":[{"version":1,"shards":{"a":"x","b":"y","a":"y"}}]}`,
			wantErrors: []string{"3 entries for 2 distinct shards"},
		},
		"shards is a list": {text: `{"application":"race","versions":[{"version":1,"shards":["a"]}]}`, wantErrors: []string{"cannot unmarshal array"}},
		"service is no text": {
			text: `{"application":"race","versions":[{"version":1,"shards":{"a":1}}]}`, wantErrors: []string{"cannot unmarshal number"},
		},
		"no shards":         {text: `{"application":"race","versions":[{"version":1}]}`, wantErrors: []string{"versions[0].shards: is empty"}},
		"version below 0":   {text: `{"application":"race","versions":[{"version":-1,"shards":{"a":"x"}}]}`, wantErrors: []string{"cannot unmarshal number -1"}},
		"version in quotes": {text: `{"application":"race","versions":[{"version":"1","shards":{"a":"x"}}]}`, wantErrors: []string{"cannot unmarshal string"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			index, err := ParseIndex("race", []byte(c.text))
			if len(c.wantErrors) == 0 {
				is.NoErr(err)
				is.Equal(index.Versions()[0].Version, Version(7))
				return
			}
			for _, want := range c.wantErrors {
				if err == nil || !strings.Contains(err.Error(), want) {
					t.Errorf("%v does not report %q", err, want)
				}
			}
		})
	}
}

// TestPin guards against pinning a version of which some shards cannot be answered while another version has all of
// them.
func TestPin(t *testing.T) {
	index, err := NewIndex("race",
		ShardMap{Version: 1, Shards: map[ShardID]fleet.ServiceID{"a": "x", "b": "y"}},
		ShardMap{Version: 2, Shards: map[ShardID]fleet.ServiceID{"a": "x", "b": "y", "c": "z"}},
	)
	is.New(t).NoErr(err)
	type beliefs map[fleet.ServiceID]Belief
	cases := map[string]struct {
		version1, version2 beliefs
		requested          []ShardID
		tryUnconfirmed     bool
		want               Version
		complete           bool
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
			choice, ok := index.Pin(c.requested, c.tryUnconfirmed, nil, func(service fleet.ServiceID, version Version) Belief {
				if version == 1 {
					return c.version1[service]
				}
				return c.version2[service]
			})
			is.Equal(ok, c.want != 0)
			is.Equal(choice.Version, c.want)
			is.Equal(choice.Complete, c.complete)
		})
	}
}

// TestHolding guards against late answers and state hints that bring back a version that the replica has refused.
func TestHolding(t *testing.T) {
	is := is.New(t)
	at := func(after time.Duration) time.Time { return time.Unix(1000, 0).Add(after) }
	holding := NewHoldings().Of("s1")
	is.Equal(holding.Belief(1, at(0)), Unknown)
	holding.ApplyStateHint([]Version{1}, at(0))
	is.Equal(holding.Belief(1, at(0)), Holds)
	holding.Observe([]Version{1, 2}, at(time.Second))
	is.Equal(holding.Belief(2, at(time.Second)), Holds)
	holding.Withdraw(1, at(2*time.Second))
	is.Equal(holding.Belief(1, at(2*time.Second)), Lacks)
	is.Equal(holding.Belief(2, at(2*time.Second)), Holds)
	holding.Observe([]Version{1, 2}, at(time.Second)) // answer to an earlier attempt
	is.Equal(holding.Belief(1, at(2*time.Second)), Lacks)
	holding.ApplyStateHint([]Version{1, 2}, at(3*time.Second)) // ignored: the state endpoint lags behind
	is.Equal(holding.Belief(1, at(3*time.Second)), Lacks)
	is.Equal(holding.Belief(1, at(20*time.Second)), Unknown)
	holding.ApplyStateHint([]Version{1, 2}, at(20*time.Second))
	is.Equal(holding.Belief(1, at(20*time.Second)), Holds)
}
