package command

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/coordination"
	"github.com/medlarlatch/medlarlatch/internal/httpapi"
	"github.com/medlarlatch/medlarlatch/internal/standin/inprocess"
	"github.com/medlarlatch/medlarlatch/internal/standin/instances"
	"github.com/medlarlatch/medlarlatch/internal/standin/store"
)

var update = flag.Bool("update", false, "write the output of the cases into their files")

// stage is what one case runs against: the stand-ins of the platform, entry instances and files.
type stage struct {
	t     *testing.T
	hosts map[string]http.Handler
	store *store.Store
	list  *instances.List
	files map[string]string
	// stuck holds the entry instances that stay at revision 1.
	stuck map[string]bool
	// silent is an entry instance whose report lacks the configuration.
	silent string
}

// RoundTrip implements http.RoundTripper by the host of the URL.
func (s *stage) RoundTrip(request *http.Request) (*http.Response, error) {
	handler, ok := s.hosts[request.URL.Host]
	if !ok {
		return nil, fmt.Errorf("no route to %s", request.URL.Host)
	}
	return (&inprocess.Transport{Handler: handler}).RoundTrip(request)
}

func newStage(t *testing.T) *stage {
	s := &stage{t: t, store: store.New(), files: make(map[string]string), stuck: make(map[string]bool)}
	var lines []coordination.Instance
	s.hosts = map[string]http.Handler{"store:2400": s.store, "callers:7100": http.HandlerFunc(answerQuery)}
	for i, zone := range []string{"zone-a", "zone-a", "zone-b", "zone-c"} {
		id, address := fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("10.0.0.%d:7101", i+1)
		lines = append(lines, coordination.Instance{ID: id, Kind: "entry", Zone: zone, Peers: fmt.Sprintf("10.0.0.%d:7102", i+1), Operators: address, State: "live"})
		s.hosts[address] = s.withBurn(id, zone, s.status(id, zone))
	}
	s.list = instances.New(lines...)
	s.hosts["list:2401"] = s.list
	return s
}

// status answers as an entry instance that has what the store has.
func (s *stage) status(id, zone string) http.HandlerFunc {
	return func(reply http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Authorization") != "Bearer example-operator-key-change-me" {
			reply.WriteHeader(http.StatusUnauthorized)
			return
		}
		revision := s.store.Entry(configuration.Key).Revision
		if s.stuck[id] {
			revision = 1
		}
		report := map[string]any{"instance": id, "zone": zone, "ready": true, "extra": 1}
		if id != s.silent {
			report["configuration"] = map[string]any{"revision": revision, "since": "2000-01-01T00:00:00Z", "origin": "store"}
		}
		addServers(report, id)
		_ = json.NewEncoder(reply).Encode(report)
	}
}

func answerQuery(reply http.ResponseWriter, request *http.Request) {
	switch {
	case strings.Contains(request.URL.Path, "full"):
		fmt.Fprint(reply, `{"id":"command-line","verdict":"ran","snapshot":7,"coverage":{"asked":1,"answered":1},"rows":{"s1":[]}}`)
	case strings.Contains(request.URL.Path, "refused"):
		reply.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(reply, `{"verdict":"not-run","reason":"overloaded","retry-after-millis":100}`)
	case strings.Contains(request.URL.Path, "lost"):
		panic(http.ErrAbortHandler)
	default:
		reply.WriteHeader(http.StatusBadGateway)
		fmt.Fprint(reply, `{"message":"from a load balancer"}`)
	}
}

func (s *stage) readFile(name string) ([]byte, error) {
	if text, ok := s.files[name]; ok {
		return []byte(text), nil
	}
	return os.ReadFile(filepath.Join("../..", name))
}

var idPattern = regexp.MustCompile(`\b[0-9a-z]{22,26}\b`)

// run runs one command line, which may end in "> FILE", and returns the output with the exit code.
func (s *stage) run(line string) string {
	line, target, saved := strings.Cut(line, " > ")
	var output, failures bytes.Buffer
	code := Run(s.t.Context(), Environment{
		Output: &output, Errors: &failures, ReadFile: s.readFile, Client: &http.Client{Transport: s},
		Random: rand.New(rand.NewPCG(1, uint64(len(line)))), Version: "(test)", WriteFile: s.writeFile,
	}, splitArguments(line))
	if saved {
		s.files[target] = output.String()
		output.Reset()
	}
	text := idPattern.ReplaceAllString(output.String()+failures.String(), "WRITE-ID")
	if text != "" && !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	if code != 0 {
		text += fmt.Sprintf("exit code %d\n", code)
	}
	return text
}

// splitArguments splits at spaces; single quotes hold an argument together.
func splitArguments(line string) []string {
	var all []string
	for i, part := range strings.Split(line, "'") {
		if i%2 == 1 {
			all = append(all, part)
		} else {
			all = append(all, strings.Fields(part)...)
		}
	}
	return all
}

// prepare runs a line that changes the stage: "store FAULTS", "list FAULTS", "stuck INSTANCE", "silent INSTANCE",
// "put DOCUMENT" or "write FILE TEXT" with \n for line ends, or "replace FILE OLD => NEW".
func (s *stage) prepare(line string) {
	verb, rest, _ := strings.Cut(line, " ")
	switch verb {
	case "store":
		var faults store.Faults
		is.New(s.t).NoErr(json.Unmarshal([]byte(rest), &faults))
		s.store.SetFaults(faults)
	case "list":
		var faults instances.Faults
		is.New(s.t).NoErr(json.Unmarshal([]byte(rest), &faults))
		s.list.SetFaults(faults)
	case "stuck":
		s.stuck[rest] = true
	case "silent":
		s.silent = rest
	case "put":
		s.store.Put(configuration.Key, strings.ReplaceAll(rest, `\n`, "\n"))
	case "write":
		file, text, _ := strings.Cut(rest, " ")
		s.files[file] = strings.ReplaceAll(text, `\n`, "\n")
	case "replace":
		file, change, _ := strings.Cut(rest, " ")
		before, after, _ := strings.Cut(change, " => ")
		s.files[file] = strings.Replace(s.files[file], before, after, 1)
	default:
		s.t.Fatalf("unknown line %q", line)
	}
}

// TestCases guards against a verb whose output or exit code changes. Each file holds lines with "$" for a
// command and "!" for a change of the stage, and the output below each command.
func TestCases(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	is.New(t).NoErr(err)
	covered := make(map[string]bool)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				text, err := os.ReadFile(file)
				is.New(t).NoErr(err)
				got := newStage(t).replay(string(text), covered)
				time.Sleep(time.Minute) // calls under way end
				if *update {
					is.New(t).NoErr(os.WriteFile(file, []byte(got), 0o644))
				}
				if got != string(text) {
					t.Errorf("got:\n%s\nwant:\n%s", got, text)
				}
			})
		})
	}
	for _, v := range verbs() {
		if !covered[v.name] {
			t.Errorf("no case runs %s", v.name)
		}
	}
}

func (s *stage) replay(text string, covered map[string]bool) string {
	var got strings.Builder
	for line := range strings.Lines(text) {
		command, isCommand := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "$ medlarlatch ")
		change, isChange := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "! ")
		switch {
		case isCommand:
			covered[strings.Fields(command)[0]] = true
			got.WriteString(line + s.run(command))
		case isChange:
			got.WriteString(line)
			s.prepare(change)
		case strings.HasPrefix(line, "#"):
			got.WriteString(line)
		}
	}
	return got.String()
}

// TestExamplesOfVerbs guards against an example in the usage text that the program does not accept.
func TestExamplesOfVerbs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStage(t)
		s.hosts["127.0.0.1:7010"], s.hosts["127.0.0.1:7011"] = s.store, s.list
		s.hosts["127.0.0.1:7100"] = http.HandlerFunc(answerQuery)
		for _, v := range verbs() {
			if v.name == "serve" || v.name == "entry" {
				continue // they run until they are stopped; TestExamples of settings and the tests of platform read their files
			}
			output := s.run(strings.TrimPrefix(v.example, "medlarlatch "))
			if strings.Contains(output, "exit code 2") || strings.Contains(output, "exit code 3") {
				t.Errorf("%s\n%s", v.example, output)
			}
		}
	})
}

// TestReport guards against a status report of the HTTP shell in another shape than the verbs read.
func TestReport(t *testing.T) {
	is := is.New(t)
	text, err := json.Marshal(httpapi.Status{
		Instance: "entry-1", Zone: "zone-a", Ready: true,
		Configuration: httpapi.ConfigurationStatus{Revision: 5, Origin: "peer"},
	})
	is.NoErr(err)
	var r report
	is.NoErr(json.Unmarshal(text, &r))
	is.True(r.confirms(5) && !r.confirms(6) && r.Ready)
	is.Equal(r.Configuration.Origin, "peer")
	is.Equal(string(r.Instance)+" "+string(r.Zone), "entry-1 zone-a")
}

// TestExitCodes guards against a code without a meaning or with two.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	seen := make(map[exitCode]bool)
	for _, line := range exitCodes {
		is.True(!seen[line.code] && line.meaning != "")
		seen[line.code] = true
	}
	is.Equal(len(seen), int(exitDiffers)+1)
}
