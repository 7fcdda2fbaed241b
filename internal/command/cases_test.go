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

var update = flag.Bool("update", false, "rewrite the files in testdata with the actual output")

// fixture is the environment of one test case: stand-ins of the platform's services and of the entry instances, and
// files.
type fixture struct {
	t     *testing.T
	hosts map[string]http.Handler
	store *store.Store
	list  *instances.List
	files map[string]string
	// stuck holds the entry instances that stay at revision 1 and have no burn counts.
	stuck map[string]bool
	// noConfiguration is the entry instance whose status lacks the configuration; empty for none. Its directive is
	// "silent".
	noConfiguration string
}

// RoundTrip implements http.RoundTripper; it calls the handler of the host in the URL.
func (f *fixture) RoundTrip(request *http.Request) (*http.Response, error) {
	handler, ok := f.hosts[request.URL.Host]
	if !ok {
		return nil, fmt.Errorf("no route to %s", request.URL.Host)
	}
	return (&inprocess.Transport{Handler: handler}).RoundTrip(request)
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, store: store.New(), files: make(map[string]string), stuck: make(map[string]bool)}
	var listed []coordination.Instance
	f.hosts = map[string]http.Handler{"store:2400": f.store, "callers:7100": http.HandlerFunc(answerQuery)}
	for i, zone := range []string{"zone-a", "zone-a", "zone-b", "zone-c"} {
		id, address := fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("10.0.0.%d:7101", i+1)
		listed = append(listed, coordination.Instance{ID: id, Kind: "entry", Zone: zone, PeerAddress: fmt.Sprintf("10.0.0.%d:7102", i+1), OperatorAddress: address, State: "live"})
		f.hosts[address] = f.withBurn(id, zone, f.status(id, zone))
	}
	f.list = instances.New(listed...)
	f.hosts["list:2401"] = f.list
	return f
}

// status returns the handler of GET /v1/status of an entry instance, which has the store's revision in force.
func (f *fixture) status(id, zone string) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Authorization") != "Bearer example-operator-key-change-me" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		revision := f.store.Entry(configuration.CatalogueKey).Revision
		if f.stuck[id] {
			revision = 1
		}
		report := map[string]any{"instance": id, "zone": zone, "ready": true, "extra": 1}
		if id != f.noConfiguration {
			report["configuration"] = map[string]any{"revision": revision, "since": "2000-01-01T00:00:00Z", "origin": "store"}
		}
		addStatusDetails(report, id)
		_ = json.NewEncoder(w).Encode(report)
	}
}

func answerQuery(w http.ResponseWriter, request *http.Request) {
	switch {
	case strings.Contains(request.URL.Path, "full"):
		fmt.Fprint(w, `{"id":"command-line","verdict":"ran","snapshot":7,"coverage":{"asked":1,"answered":1},"rows":{"s1":[]}}`)
	case strings.Contains(request.URL.Path, "refused"):
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"verdict":"not-run","reason":"overloaded","retry-after-millis":100}`)
	case strings.Contains(request.URL.Path, "lost"):
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusBadGateway)
		fmt.Fprint(w, `{"message":"from a load balancer"}`)
	}
}

func (f *fixture) readFile(name string) ([]byte, error) {
	if text, ok := f.files[name]; ok {
		return []byte(text), nil
	}
	return os.ReadFile(filepath.Join("../..", name))
}

var idPattern = regexp.MustCompile(`\b[0-9a-z]{22,26}\b`)

// run runs one command line, which may end in "> FILE", and returns the output with the exit code.
func (f *fixture) run(line string) string {
	line, target, saved := strings.Cut(line, " > ")
	var output, failures bytes.Buffer
	code := Run(f.t.Context(), Environment{
		Output: &output, ErrorOutput: &failures, ReadFile: f.readFile, Client: &http.Client{Transport: f},
		Random: rand.New(rand.NewPCG(1, uint64(len(line)))), Version: "(test)", WriteFile: f.writeFile,
	}, splitArguments(line))
	if saved {
		f.files[target] = output.String()
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

// splitArguments splits a command line at spaces. Text in single quotes is one argument.
func splitArguments(line string) []string {
	var arguments []string
	for i, part := range strings.Split(line, "'") {
		if i%2 == 1 {
			arguments = append(arguments, part)
		} else {
			arguments = append(arguments, strings.Fields(part)...)
		}
	}
	return arguments
}

// applyDirective runs a directive, a line of a case that changes the fixture: "store FAULTS", "list FAULTS",
// "stuck INSTANCE", "silent INSTANCE", "put DOCUMENT" or "write FILE TEXT" with \n for line ends, or
// "replace FILE OLD => NEW".
func (f *fixture) applyDirective(line string) {
	directive, rest, _ := strings.Cut(line, " ")
	switch directive {
	case "store":
		var faults store.Faults
		is.New(f.t).NoErr(json.Unmarshal([]byte(rest), &faults))
		f.store.SetFaults(faults)
	case "list":
		var faults instances.Faults
		is.New(f.t).NoErr(json.Unmarshal([]byte(rest), &faults))
		f.list.SetFaults(faults)
	case "stuck":
		f.stuck[rest] = true
	case "silent":
		f.noConfiguration = rest
	case "put":
		f.store.Put(configuration.CatalogueKey, strings.ReplaceAll(rest, `\n`, "\n"))
	case "write":
		file, text, _ := strings.Cut(rest, " ")
		f.files[file] = strings.ReplaceAll(text, `\n`, "\n")
	case "replace":
		file, change, _ := strings.Cut(rest, " ")
		before, after, _ := strings.Cut(change, " => ")
		f.files[file] = strings.Replace(f.files[file], before, after, 1)
	default:
		f.t.Fatalf("unknown directive %q", line)
	}
}

// TestCases guards against unintended changes of the output or exit code of a verb, and against a verb without a case.
// In the files, a line with "$" is a command, which its expected output follows, a line with "!" is a directive for the
// fixture, and a line with "#" is a comment.
func TestCases(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	is.New(t).NoErr(err)
	covered := make(map[string]bool)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				text, err := os.ReadFile(file)
				is.New(t).NoErr(err)
				got := newFixture(t).replay(string(text), covered)
				time.Sleep(time.Minute) // let calls in progress end
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

// replay runs the commands and directives of a case and returns the case with the actual output. It adds the verbs that
// it ran to covered.
func (f *fixture) replay(text string, covered map[string]bool) string {
	var got strings.Builder
	for line := range strings.Lines(text) {
		command, isCommand := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "$ medlarlatch ")
		change, isChange := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "! ")
		switch {
		case isCommand:
			covered[strings.Fields(command)[0]] = true
			got.WriteString(line + f.run(command))
		case isChange:
			got.WriteString(line)
			f.applyDirective(change)
		case strings.HasPrefix(line, "#"):
			got.WriteString(line)
		}
	}
	return got.String()
}

// TestExamplesOfVerbs guards against an example in a usage text that the program rejects as a wrong command line or as
// invalid settings.
func TestExamplesOfVerbs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.hosts["127.0.0.1:7010"], f.hosts["127.0.0.1:7011"] = f.store, f.list
		f.hosts["127.0.0.1:7100"] = http.HandlerFunc(answerQuery)
		for _, v := range verbs() {
			if v.name == "serve" || v.name == "entry" {
				continue // runs until a signal; other tests parse its settings files
			}
			output := f.run(strings.TrimPrefix(v.example, "medlarlatch "))
			if strings.Contains(output, "exit code 2") || strings.Contains(output, "exit code 3") {
				t.Errorf("%s\n%s", v.example, output)
			}
		}
	})
}

// TestStatusReport guards against a status report that package httpapi encodes in another form than the verbs decode.
func TestStatusReport(t *testing.T) {
	is := is.New(t)
	text, err := json.Marshal(httpapi.Status{
		Instance: "entry-1", Zone: "zone-a", Ready: true,
		Configuration: httpapi.ConfigurationStatus{Revision: 5, Origin: "peer"},
	})
	is.NoErr(err)
	var r statusReport
	is.NoErr(json.Unmarshal(text, &r))
	is.True(r.confirms(5) && !r.confirms(6) && r.Ready)
	is.Equal(r.Configuration.Origin, "peer")
	is.Equal(string(r.Instance)+" "+string(r.Zone), "entry-1 zone-a")
}

// TestExitCodes guards against an exit code that has no meaning in the table or more than one.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	seen := make(map[exitCode]bool)
	for _, line := range exitCodes {
		is.True(!seen[line.code] && line.meaning != "")
		seen[line.code] = true
	}
	is.Equal(len(seen), int(exitDiffers)+1)
}
