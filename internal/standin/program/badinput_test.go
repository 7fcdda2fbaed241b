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

// tokensApplication is the application whose servers and index the test makes faulty; the background queries use
// searchApplication.
const tokensApplication = "handheld-tokens"

// waitTimeout bounds every wait. No check of this file depends on how fast an answer comes.
const waitTimeout = 30 * time.Second

// TestBadInput guards against bad input of a caller, an operator, the platform or a backend server that is refused with
// the wrong reason or verdict, or that disturbs other queries. Valid queries run in the background all the time; none
// may get a wrong answer, and each kind of bad input must be followed by complete answers.
func TestBadInput(t *testing.T) {
	check := is.New(t)
	ctx := context.Background()
	c := startWithDeadline(t, 4*time.Second, searchApplication, tokensApplication)
	before := incarnations(t, c)
	background := startBackgroundQueries(t, c)
	badRequests(t, c)
	background.requireProgress("bad requests")
	concurrentDuplicateIDs(t, c)
	stalledConnections(t, c)
	background.requireProgress("callers that stop")
	badAnswers(t, c)
	background.requireProgress("bad answers")
	badCatalogues(t, c)
	background.requireProgress("bad catalogues")
	badLists(t, c)
	background.requireProgress("bad lists")
	badIndexes(t, c)
	background.requireProgress("bad indexes")
	background.finish()
	check.Equal(incarnations(t, c), before) // no process was restarted
	report, err := c.Observed(ctx)
	check.NoErr(err)
	for _, seen := range report.Servers {
		check.True(seen.PeakInFlight <= seen.Slots)
		check.True(seen.PeakConnections <= seen.ConnectionLimit)
		check.Equal(seen.ColdOverloads, int64(0))
	}
}

// incarnations returns the incarnation of each entry instance, which changes when its process is restarted.
func incarnations(t *testing.T, c *cluster.Cluster) (all []string) {
	for n := range c.Entries {
		status, err := c.Status(context.Background(), n)
		is.New(t).NoErr(err)
		all = append(all, status.Incarnation)
	}
	return all
}

// backgroundQueries sends valid queries to each entry instance, one at a time, and counts those that were sent and, for
// each instance, the complete answers.
type backgroundQueries struct {
	t        *testing.T
	complete []atomic.Int64
	sent     atomic.Int64
	cancel   context.CancelFunc
	group    sync.WaitGroup
}

func startBackgroundQueries(t *testing.T, c *cluster.Cluster) *backgroundQueries {
	ctx, cancel := context.WithCancel(context.Background())
	b := &backgroundQueries{t: t, complete: make([]atomic.Int64, len(c.Entries)), cancel: cancel}
	t.Cleanup(func() { // also after a failure, before the cluster is closed
		cancel()
		b.group.Wait()
	})
	for n := range c.Entries {
		b.group.Go(func() {
			for number := uint64(n); ctx.Err() == nil; number += uint64(len(c.Entries)) {
				query := api.Query{ID: "ordinary", DeadlineMillis: 4000, Query: c.Application(searchApplication).Data.Query(number)}
				answer, refusal, err := c.Query(ctx, n, searchApplication, query)
				b.sent.Add(1)
				switch {
				case ctx.Err() != nil:
				case err != nil:
					t.Errorf("a background query got no answer: %v", err)
				case refusal != nil:
					t.Logf("a background query was refused: %+v", refusal)
				case c.Check(searchApplication, query, answer) != nil:
					t.Errorf("a background query got a wrong answer: %v", c.Check(searchApplication, query, answer))
				case answer.Coverage.Answered == answer.Coverage.Asked:
					b.complete[n].Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return b
}

// requireProgress waits until every entry instance has given five more complete answers.
func (b *backgroundQueries) requireProgress(after string) {
	b.t.Helper()
	for n := range b.complete {
		required := b.complete[n].Load() + 5
		waitUntil(b.t, fmt.Sprintf("complete answers of entry instance %d after %s", n+1, after), func() bool { return b.complete[n].Load() >= required })
	}
}

func (b *backgroundQueries) finish() {
	b.cancel()
	b.group.Wait()
	sum := int64(0)
	for n := range b.complete {
		sum += b.complete[n].Load()
	}
	b.t.Logf("%d of %d background queries answered completely", sum, b.sent.Load())
}

func waitUntil(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", condition, waitTimeout)
		}
	}
}

// sendRaw sends raw text on a new connection and returns the status and the refusal of the response. If truncated is
// set, it closes the sending side after the text.
func sendRaw(t *testing.T, address, text string, truncated bool) (int, api.Refusal) {
	t.Helper()
	check := is.New(t)
	connection, err := net.Dial("tcp", address)
	check.NoErr(err)
	defer func() { _ = connection.Close() }()
	check.NoErr(connection.SetDeadline(time.Now().Add(waitTimeout)))
	_, _ = connection.Write([]byte(text)) // an oversized request may be answered before its end
	if truncated {
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
	body := func(deadline, extraFields string) string {
		return fmt.Sprintf(`{"id":"bad","deadline-millis":%s,"query":{"bib":1}%s}`, deadline, extraFields)
	}
	long := strings.Repeat("x", api.MaxBodyBytes)
	cases := map[string]struct {
		application, header, body string
		truncated                 bool
		status                    int
		reason                    verdict.Reason
		field                     string
	}{
		"cut short":           {searchApplication, "", `{"id":"bad"`, true, 400, verdict.InvalidRequest, "body"},
		"too long":            {searchApplication, "", body("100", `,"ticket":"`+long+`"`), false, 400, verdict.InvalidRequest, "body"},
		"long header":         {searchApplication, "X: " + strings.Repeat("x", 2*api.MaxHeaderBytes) + "\r\n", body("100", ""), false, 431, verdict.None, ""},
		"wrong type":          {searchApplication, "", body(`"100"`, ""), false, 400, verdict.InvalidRequest, "deadline-millis"},
		"deadline 0":          {searchApplication, "", body("0", ""), false, 400, verdict.InvalidRequest, "deadline-millis"},
		"deadline below 0":    {searchApplication, "", body("-9223372036854775808", ""), false, 400, verdict.InvalidRequest, "deadline-millis"},
		"deadline out of 64":  {searchApplication, "", body("9223372036854775808", ""), false, 400, verdict.InvalidRequest, "deadline-millis"},
		"unknown application": {"no-such", "", body("4000", ""), false, 404, verdict.UnknownApplication, ""},
		"unknown shard":       {searchApplication, "", body("4000", `,"shards":["no-such"]`), false, 404, verdict.UnknownShard, "shards"},
		"ticket of nobody":    {searchApplication, "", body("4000", `,"ticket":"t1-aaaa"`), false, 400, verdict.InvalidRequest, ""},
	}
	for name, bad := range cases {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			for n := range c.Entries {
				length := len(bad.body)
				if bad.truncated {
					length += 100
				}
				status, refusal := sendRaw(t, c.CallerAddress(n), fmt.Sprintf("POST /v1/applications/%s/query HTTP/1.1\r\nHost: e\r\n%sContent-Length: %d\r\n\r\n%s",
					bad.application, bad.header, length, bad.body), bad.truncated)
				check.Equal(status, bad.status)
				check.Equal(refusal.Reason, bad.reason)
				check.Equal(refusal.Field, bad.field)
				check.Equal(refusal.Verdict, verdict.NotRun)
			}
		})
	}
	t.Run("deadline 1", func(t *testing.T) {
		check := is.New(t)
		for range 200 { // enough that some arrive while other queries are in progress
			_, refusal, err := c.Query(context.Background(), 0, searchApplication, api.Query{ID: "short", DeadlineMillis: 1, Query: json.RawMessage(`{"bib":1}`)})
			check.NoErr(err)
			// On a busy machine the deadline can pass before the instance finds it too short.
			check.True(refusal != nil && (refusal.Reason == verdict.DeadlineTooShort || refusal.Reason == verdict.DeadlinePassed))
			check.Equal(refusal.Verdict, verdict.NotRun)
		}
	})
	t.Run("huge deadline", func(t *testing.T) {
		check := is.New(t)
		query := api.Query{ID: "huge", DeadlineMillis: 1<<63 - 1, Query: c.Application(searchApplication).Data.Query(1)}
		waitUntil(t, "a correct answer", func() bool {
			answer, _, err := c.Query(context.Background(), 0, searchApplication, query)
			check.NoErr(err)
			return answer != nil && c.Check(searchApplication, query, answer) == nil
		})
	})
}

// concurrentDuplicateIDs sends different queries with the same id concurrently; each must get its own answer.
func concurrentDuplicateIDs(t *testing.T, c *cluster.Cluster) {
	var group sync.WaitGroup
	for number := range 8 {
		group.Go(func() {
			query := api.Query{ID: "same", DeadlineMillis: 4000, Query: c.Application(searchApplication).Data.Query(uint64(number))}
			answer, _, err := c.Query(context.Background(), number%2, searchApplication, query)
			if err != nil || answer != nil && c.Check(searchApplication, query, answer) != nil {
				t.Errorf("query %d with an id shared by others: %v", number, errors.Join(err, c.Check(searchApplication, query, answer)))
			}
		})
	}
	group.Wait()
}

// stalledConnections opens connections of callers that never complete their header or body, or never read the
// response. The connections stay open until the test ends.
func stalledConnections(t *testing.T, c *cluster.Cluster) {
	check := is.New(t)
	query := `{"id":"held","deadline-millis":4000,"query":{"bib":1}}`
	head := fmt.Sprintf("POST /v1/applications/%s/query HTTP/1.1\r\nHost: e\r\nContent-Length: %d\r\n\r\n", searchApplication, len(query))
	for n := range c.Entries {
		for _, text := range []string{"POST /v1/tickets HTTP/1.1\r\nX: ", head + query[:10], head + query} {
			for range 10 {
				connection, err := net.Dial("tcp", c.CallerAddress(n))
				check.NoErr(err)
				t.Cleanup(func() { _ = connection.Close() })
				_, err = connection.Write([]byte(text))
				check.NoErr(err)
			}
		}
	}
}

// badAnswers makes every replica of one service of tokensApplication send invalid answers.
func badAnswers(t *testing.T, c *cluster.Cluster) {
	ctx := context.Background()
	instances, err := c.InstanceList(ctx)
	is.New(t).NoErr(err)
	fault := func(text string) {
		for _, instance := range instances {
			if instance.Service == tokensApplication+"-01" {
				is.New(t).NoErr(c.SetServerFaults(ctx, instance.ID, text))
			}
		}
	}
	defer fault(`{"answer":""}`)
	for _, kind := range []string{"cut", "long", "crossed", "not-json"} {
		t.Run("answer "+kind, func(t *testing.T) {
			check := is.New(t)
			fault(fmt.Sprintf(`{"answer":%q}`, kind))
			for number := range 5 {
				query := api.Query{ID: "spoiled", DeadlineMillis: 4000, Query: c.Application(tokensApplication).Data.Query(uint64(number))}
				answer, refusal, err := c.Query(ctx, number%len(c.Entries), tokensApplication, query)
				check.NoErr(err)
				if answer != nil {
					check.NoErr(c.Check(tokensApplication, query, answer))
					check.True(answer.Coverage.Answered < answer.Coverage.Asked) // the shard with invalid answers does not count as answered
					continue
				}
				check.True(refusal.Verdict == verdict.MayHaveRun || refusal.Reason != verdict.CoverageBelowFloor)
				check.True(refusal.Coverage == nil || refusal.Coverage.Answered < refusal.Coverage.Asked)
			}
		})
	}
}

// waitForRevision waits until the catalogue of the revision is in force at every entry instance.
func waitForRevision(t *testing.T, c *cluster.Cluster, revision uint64) {
	t.Helper()
	for n := range c.Entries {
		waitUntil(t, fmt.Sprintf("revision %d at instance %d", revision, n+1), func() bool {
			status, err := c.Status(context.Background(), n)
			return err == nil && status.Configuration.Revision == revision
		})
	}
}

func badCatalogues(t *testing.T, c *cluster.Cluster) {
	ctx := context.Background()
	check := is.New(t)
	good, err := c.Document(ctx, configuration.CatalogueKey)
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
			revision, err := c.PutDocument(ctx, configuration.CatalogueKey, text)
			check.NoErr(err)
			time.Sleep(500 * time.Millisecond) // long enough for the instances to adopt it
			for n := range c.Entries {
				status, err := c.Status(ctx, n)
				check.NoErr(err)
				check.True(status.Configuration.Revision < revision)
				check.True(status.Ready)
			}
		})
	}
	_, err = c.PutDocument(ctx, configuration.CatalogueKey, good+strings.Repeat(";", catalogue.MaxBytes-len(good)+1))
	check.True(err != nil) // the store rejects a document above the size limit
	for _, text := range []string{good + strings.Repeat(";", catalogue.MaxBytes-len(good)), good} {
		revision, err := c.PutDocument(ctx, configuration.CatalogueKey, text)
		check.NoErr(err)
		waitForRevision(t, c, revision)
	}
}

func badLists(t *testing.T, c *cluster.Cluster) {
	ctx := context.Background()
	check := is.New(t)
	good, err := c.InstanceList(ctx)
	check.NoErr(err)
	unknown := slices.Clone(good)
	unknown[0].State = "lost"
	for name, instances := range map[string][]coordination.Instance{
		"id twice":      append(slices.Clone(good), good[0]),
		"unknown state": unknown,
		"empty line":    append(slices.Clone(good), coordination.Instance{}),
	} {
		t.Run("list "+name, func(t *testing.T) {
			check := is.New(t)
			check.NoErr(c.SetInstanceList(ctx, instances))
			time.Sleep(1500 * time.Millisecond) // the list is read every second
			for n := range c.Entries {
				status, err := c.Status(ctx, n)
				check.NoErr(err)
				check.True(status.Ready)
				check.Equal(len(status.Peers)+1+len(status.Servers), len(good)) // the instances of the last valid list are kept
			}
		})
	}
	check.NoErr(c.SetInstanceList(ctx, good))
}

func badIndexes(t *testing.T, c *cluster.Cluster) {
	ctx := context.Background()
	check := is.New(t)
	key := c.Application(searchApplication).IndexKey()
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
			time.Sleep(500 * time.Millisecond) // long enough for the instances to adopt it
			query := api.Query{ID: "index", DeadlineMillis: 4000, Query: c.Application(searchApplication).Data.Query(1)}
			waitUntil(t, "an answer from the index version whose services have replicas", func() bool {
				answer, _, err := c.Query(ctx, 0, searchApplication, query)
				check.NoErr(err)
				return answer != nil && answer.Snapshot == 1 && c.Check(searchApplication, query, answer) == nil
			})
		})
	}
	// If no index version can be answered, the refusal gives the reason and says that nothing has run.
	_, err = c.PutDocument(ctx, c.Application(tokensApplication).IndexKey(), `{"application":"`+tokensApplication+`","versions":[{"version":99,"shards":{"nowhere":"no-such"}}]}`)
	check.NoErr(err)
	waitUntil(t, "a refusal because no replica is available", func() bool {
		_, refusal, err := c.Query(ctx, 0, tokensApplication, api.Query{ID: "q", DeadlineMillis: 4000, Query: c.Application(tokensApplication).Data.Query(1)})
		check.NoErr(err)
		return refusal != nil && refusal.Reason == verdict.NoReplica && refusal.Verdict == verdict.NotRun
	})
}
