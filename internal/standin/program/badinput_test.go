package program

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/coordination"
	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const tokens = "handheld-tokens"

// patience bounds every wait; nothing here depends on how fast an answer comes.
const patience = 30 * time.Second

// TestBadInput guards against bad input of a caller, an operator, the platform or a backend server that gets an unclear
// refusal or an untrue verdict, or that disturbs ordinary queries: these run all the time, and no answer is wrong.
func TestBadInput(t *testing.T) {
	check := is.New(t)
	ctx := context.Background()
	c := startWithDeadline(t, 4*time.Second, search, tokens)
	before := incarnations(t, c)
	ordinary := watch(t, c)
	badRequests(t, c)
	ordinary.goOn("bad requests")
	idsAtTheSameTime(t, c)
	heldConnections(t, c)
	ordinary.goOn("callers that stop")
	badAnswers(t, c)
	ordinary.goOn("bad answers")
	badCatalogues(t, c)
	ordinary.goOn("bad catalogues")
	badLists(t, c)
	ordinary.goOn("bad lists")
	badIndexes(t, c)
	ordinary.goOn("bad indexes")
	ordinary.end()
	check.Equal(incarnations(t, c), before) // no process ended
	report, err := c.Observed(ctx)
	check.NoErr(err)
	for _, seen := range report.Servers {
		check.True(seen.PeakInFlight <= seen.Slots)
		check.True(seen.PeakConnections <= seen.Limit)
		check.Equal(seen.FellOver, int64(0))
	}
}

func incarnations(t *testing.T, c *cluster.Cluster) (all []string) {
	for n := range c.Entries {
		status, err := c.Status(context.Background(), n)
		is.New(t).NoErr(err)
		all = append(all, status.Incarnation)
	}
	return all
}

// watched are ordinary queries to each entry instance, one after the other.
type watched struct {
	t     *testing.T
	whole []atomic.Int64
	asked atomic.Int64
	stop  context.CancelFunc
	group sync.WaitGroup
}

func watch(t *testing.T, c *cluster.Cluster) *watched {
	ctx, stop := context.WithCancel(context.Background())
	w := &watched{t: t, whole: make([]atomic.Int64, len(c.Entries)), stop: stop}
	t.Cleanup(func() { // also after a failure, before the cluster is closed
		stop()
		w.group.Wait()
	})
	for n := range c.Entries {
		w.group.Go(func() {
			for number := uint64(n); ctx.Err() == nil; number += uint64(len(c.Entries)) {
				query := api.Query{ID: "ordinary", DeadlineMillis: 4000, Query: c.Application(search).Data.Query(number)}
				answer, refusal, err := c.Query(ctx, n, search, query)
				w.asked.Add(1)
				switch {
				case ctx.Err() != nil:
				case err != nil:
					t.Errorf("an ordinary query got no answer: %v", err)
				case refusal != nil:
					t.Logf("an ordinary query was refused: %+v", refusal)
				case c.Check(search, query, answer) != nil:
					t.Errorf("an ordinary query got a wrong answer: %v", c.Check(search, query, answer))
				case answer.Coverage.Answered == answer.Coverage.Asked:
					w.whole[n].Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return w
}

// goOn waits until every entry instance has answered further queries whole.
func (w *watched) goOn(after string) {
	w.t.Helper()
	for n := range w.whole {
		least := w.whole[n].Load() + 5
		until(w.t, fmt.Sprintf("whole answers of entry instance %d after %s", n+1, after), func() bool { return w.whole[n].Load() >= least })
	}
}

func (w *watched) end() {
	w.stop()
	w.group.Wait()
	sum := int64(0)
	for n := range w.whole {
		sum += w.whole[n].Load()
	}
	w.t.Logf("%d of %d ordinary queries whole", sum, w.asked.Load())
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", what, patience)
		}
	}
}

// exchange sends raw text on a connection of its own; with cut, nothing follows it.
func exchange(t *testing.T, address, text string, cut bool) (int, api.Refusal) {
	t.Helper()
	check := is.New(t)
	connection, err := net.Dial("tcp", address)
	check.NoErr(err)
	defer func() { _ = connection.Close() }()
	check.NoErr(connection.SetDeadline(time.Now().Add(patience)))
	_, _ = connection.Write([]byte(text)) // an oversized request may be answered before its end
	if cut {
		check.NoErr(connection.(*net.TCPConn).CloseWrite())
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	check.NoErr(err)
	var refusal api.Refusal
	if response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		check.NoErr(json.NewDecoder(response.Body).Decode(&refusal))
	}
	return response.StatusCode, refusal
}

func badRequests(t *testing.T, c *cluster.Cluster) {
	body := func(deadline, more string) string {
		return fmt.Sprintf(`{"id":"bad","deadline-millis":%s,"query":{"bib":1}%s}`, deadline, more)
	}
	long := strings.Repeat("x", api.MaxBodyBytes)
	cases := map[string]struct {
		application, header, body string
		cut                       bool
		status                    int
		reason                    verdict.Reason
		field                     string
	}{
		"cut short":           {search, "", `{"id":"bad"`, true, 400, verdict.InvalidRequest, "body"},
		"too long":            {search, "", body("100", `,"ticket":"`+long+`"`), false, 400, verdict.InvalidRequest, "body"},
		"long header":         {search, "X: " + strings.Repeat("x", 2*api.MaxHeaderBytes) + "\r\n", body("100", ""), false, 431, verdict.None, ""},
		"wrong type":          {search, "", body(`"100"`, ""), false, 400, verdict.InvalidRequest, "deadline-millis"},
		"deadline 0":          {search, "", body("0", ""), false, 400, verdict.InvalidRequest, "deadline-millis"},
		"deadline below 0":    {search, "", body("-9223372036854775808", ""), false, 400, verdict.InvalidRequest, "deadline-millis"},
		"deadline out of 64":  {search, "", body("9223372036854775808", ""), false, 400, verdict.InvalidRequest, "deadline-millis"},
		"unknown application": {"no-such", "", body("4000", ""), false, 404, verdict.UnknownApplication, ""},
		"unknown shard":       {search, "", body("4000", `,"shards":["no-such"]`), false, 404, verdict.UnknownShard, "shards"},
		"ticket of nobody":    {search, "", body("4000", `,"ticket":"t1-aaaa"`), false, 400, verdict.InvalidRequest, ""},
	}
	for name, bad := range cases {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			for n := range c.Entries {
				length := len(bad.body)
				if bad.cut {
					length += 100
				}
				status, refusal := exchange(t, c.Callers(n), fmt.Sprintf("POST /v1/applications/%s/query HTTP/1.1\r\nHost: e\r\n%sContent-Length: %d\r\n\r\n%s",
					bad.application, bad.header, length, bad.body), bad.cut)
				check.Equal(status, bad.status)
				check.Equal(refusal.Reason, bad.reason)
				check.Equal(refusal.Field, bad.field)
				check.Equal(refusal.Verdict, verdict.NotRun)
			}
		})
	}
	t.Run("deadline 1", func(t *testing.T) {
		check := is.New(t)
		for range 200 { // some of them while other queries are in progress
			_, refusal, err := c.Query(context.Background(), 0, search, api.Query{ID: "short", DeadlineMillis: 1, Query: json.RawMessage(`{"bib":1}`)})
			check.NoErr(err)
			// On a busy machine it has passed before it can be found too short.
			check.True(refusal != nil && (refusal.Reason == verdict.DeadlineTooShort || refusal.Reason == verdict.DeadlinePassed))
			check.Equal(refusal.Verdict, verdict.NotRun)
		}
	})
	t.Run("huge deadline", func(t *testing.T) {
		check := is.New(t)
		query := api.Query{ID: "huge", DeadlineMillis: 1<<63 - 1, Query: c.Application(search).Data.Query(1)}
		until(t, "an answer", func() bool {
			answer, _, err := c.Query(context.Background(), 0, search, query)
			check.NoErr(err)
			return answer != nil && c.Check(search, query, answer) == nil
		})
	})
}

// idsAtTheSameTime sends different queries under one id; each must get its own answer.
func idsAtTheSameTime(t *testing.T, c *cluster.Cluster) {
	var group sync.WaitGroup
	for number := range 8 {
		group.Go(func() {
			query := api.Query{ID: "same", DeadlineMillis: 4000, Query: c.Application(search).Data.Query(uint64(number))}
			answer, _, err := c.Query(context.Background(), number%2, search, query)
			if err != nil || answer != nil && c.Check(search, query, answer) != nil {
				t.Errorf("query %d under the id of others: %v", number, errors.Join(err, c.Check(search, query, answer)))
			}
		})
	}
	group.Wait()
}

// heldConnections opens connections of callers that never end their header or body, or never read; they stay open
// until the test ends.
func heldConnections(t *testing.T, c *cluster.Cluster) {
	check := is.New(t)
	query := `{"id":"held","deadline-millis":4000,"query":{"bib":1}}`
	head := fmt.Sprintf("POST /v1/applications/%s/query HTTP/1.1\r\nHost: e\r\nContent-Length: %d\r\n\r\n", search, len(query))
	for n := range c.Entries {
		for _, text := range []string{"POST /v1/tickets HTTP/1.1\r\nX: ", head + query[:10], head + query} {
			for range 10 {
				connection, err := net.Dial("tcp", c.Callers(n))
				check.NoErr(err)
				t.Cleanup(func() { _ = connection.Close() })
				_, err = connection.Write([]byte(text))
				check.NoErr(err)
			}
		}
	}
}

// badAnswers spoils the answers of every replica of one service of the other application.
func badAnswers(t *testing.T, c *cluster.Cluster) {
	ctx := context.Background()
	lines, err := c.Listed(ctx)
	is.New(t).NoErr(err)
	fault := func(text string) {
		for _, line := range lines {
			if line.Service == tokens+"-01" {
				is.New(t).NoErr(c.Fault(ctx, line.ID, text))
			}
		}
	}
	defer fault(`{"answer":""}`)
	for _, kind := range []string{"cut", "long", "crossed", "not-json"} {
		t.Run("answer "+kind, func(t *testing.T) {
			check := is.New(t)
			fault(fmt.Sprintf(`{"answer":%q}`, kind))
			for number := range 5 {
				query := api.Query{ID: "spoiled", DeadlineMillis: 4000, Query: c.Application(tokens).Data.Query(uint64(number))}
				answer, refusal, err := c.Query(ctx, number%len(c.Entries), tokens, query)
				check.NoErr(err)
				if answer != nil {
					check.NoErr(c.Check(tokens, query, answer))
					check.True(answer.Coverage.Answered < answer.Coverage.Asked) // the spoiled shard is not answered
					continue
				}
				check.True(refusal.Verdict == verdict.MayHaveRun || refusal.Reason != verdict.CoverageBelowFloor)
				check.True(refusal.Coverage == nil || refusal.Coverage.Answered < refusal.Coverage.Asked)
			}
		})
	}
}

// inForce waits until all instances have the catalogue of the revision.
func inForce(t *testing.T, c *cluster.Cluster, revision uint64) {
	t.Helper()
	for n := range c.Entries {
		until(t, fmt.Sprintf("revision %d at instance %d", revision, n+1), func() bool {
			status, err := c.Status(context.Background(), n)
			return err == nil && status.Configuration.Revision == revision
		})
	}
}

func badCatalogues(t *testing.T, c *cluster.Cluster) {
	ctx := context.Background()
	check := is.New(t)
	good, err := c.Document(ctx, configuration.Key)
	check.NoErr(err)
	for name, text := range map[string]string{
		"contradiction": strings.Replace(good, "coverage-floor = 0.95", "coverage-floor = 0.5", 1),
		"not INI":       "{}",
		"empty":         "",
		"unknown key":   strings.Replace(good, "slots =", "slot =", 1),
	} {
		t.Run("catalogue "+name, func(t *testing.T) {
			check := is.New(t)
			check.True(text != good)
			revision, err := c.PutDocument(ctx, configuration.Key, text)
			check.NoErr(err)
			time.Sleep(500 * time.Millisecond) // time to adopt it
			for n := range c.Entries {
				status, err := c.Status(ctx, n)
				check.NoErr(err)
				check.True(status.Configuration.Revision < revision)
				check.True(status.Ready)
			}
		})
	}
	_, err = c.PutDocument(ctx, configuration.Key, good+strings.Repeat(";", catalogue.MaxBytes-len(good)+1))
	check.True(err != nil) // the store does not take it
	for _, text := range []string{good + strings.Repeat(";", catalogue.MaxBytes-len(good)), good} {
		revision, err := c.PutDocument(ctx, configuration.Key, text)
		check.NoErr(err)
		inForce(t, c, revision)
	}
}

func badLists(t *testing.T, c *cluster.Cluster) {
	ctx := context.Background()
	check := is.New(t)
	good, err := c.Listed(ctx)
	check.NoErr(err)
	unknown := slices.Clone(good)
	unknown[0].State = "lost"
	for name, lines := range map[string][]coordination.Instance{
		"id twice":      append(slices.Clone(good), good[0]),
		"unknown state": unknown,
		"empty line":    append(slices.Clone(good), coordination.Instance{}),
	} {
		t.Run("list "+name, func(t *testing.T) {
			check := is.New(t)
			check.NoErr(c.SetList(ctx, lines))
			time.Sleep(1500 * time.Millisecond) // it is read every second
			for n := range c.Entries {
				status, err := c.Status(ctx, n)
				check.NoErr(err)
				check.True(status.Ready)
				check.Equal(len(status.Peers)+1+len(status.Servers), len(good)) // the instances known last stay
			}
		})
	}
	check.NoErr(c.SetList(ctx, good))
}

func badIndexes(t *testing.T, c *cluster.Cluster) {
	ctx := context.Background()
	check := is.New(t)
	key := c.Application(search).IndexKey()
	good, err := c.Document(ctx, key)
	check.NoErr(err)
	for name, text := range map[string]string{
		"cut short":        good[:len(good)/2],
		"shard twice":      strings.Replace(good, `"shards":{`, `"shards":{"twice":"a","twice":"b",`, 1),
		"unknown services": strings.Replace(good, `"versions":[`, `"versions":[{"version":99,"shards":{"nowhere":"no-such"}},`, 1),
	} {
		t.Run("index "+name, func(t *testing.T) {
			check := is.New(t)
			check.True(text != good)
			_, err := c.PutDocument(ctx, key, text)
			check.NoErr(err)
			time.Sleep(500 * time.Millisecond) // time to adopt it
			query := api.Query{ID: "index", DeadlineMillis: 4000, Query: c.Application(search).Data.Query(1)}
			until(t, "an answer from the version that can be answered", func() bool {
				answer, _, err := c.Query(ctx, 0, search, query)
				check.NoErr(err)
				return answer != nil && answer.Snapshot == 1 && c.Check(search, query, answer) == nil
			})
		})
	}
	// Where no version can be answered, the refusal says why and that nothing has run.
	_, err = c.PutDocument(ctx, c.Application(tokens).IndexKey(), `{"application":"`+tokens+`","versions":[{"version":99,"shards":{"nowhere":"no-such"}}]}`)
	check.NoErr(err)
	until(t, "a refusal for want of a replica", func() bool {
		_, refusal, err := c.Query(ctx, 0, tokens, api.Query{ID: "q", DeadlineMillis: 4000, Query: c.Application(tokens).Data.Query(1)})
		check.NoErr(err)
		return refusal != nil && refusal.Reason == verdict.NoReplica && refusal.Verdict == verdict.NotRun
	})
}
