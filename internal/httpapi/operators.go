package httpapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Status explains to operators what an entry instance does now and since when. Each state carries the reason code
// that answers and metrics use.
type Status struct {
	Instance      string              `json:"instance"`
	Zone          string              `json:"zone"`
	Region        string              `json:"region"`
	Incarnation   string              `json:"incarnation"`
	Started       time.Time           `json:"started"`
	Ready         bool                `json:"ready"`
	Reason        verdict.Reason      `json:"reason"`
	Configuration ConfigurationStatus `json:"configuration"`
	Indexes       map[string][]uint64 `json:"indexes"`
	Admission     AdmissionStatus     `json:"admission"`
	Peers         []PeerStatus        `json:"peers"`
	Servers       []ServerStatus      `json:"servers"`
	Refusals      map[string]int64    `json:"refusals"`
	Load          LoadStatus          `json:"load"`
}

// ConfigurationStatus tells the revision in force.
type ConfigurationStatus struct {
	Revision uint64 `json:"revision"`
	// Since is when this instance adopted the revision.
	Since time.Time `json:"since"`
	// WriteID is the id of the write that made the revision.
	WriteID string `json:"write-id"`
	// Origin is the store or a peer; Peer names it.
	Origin string `json:"origin"`
	Peer   string `json:"peer,omitempty"`
	// StoreAlive tells whether this instance watches the store and its last call succeeded.
	StoreAlive bool `json:"store-alive"`
}

// AdmissionStatus tells the bound on queries in progress.
type AdmissionStatus struct {
	Bound    int `json:"bound"`
	InFlight int `json:"in-flight"`
}

// PeerStatus is another entry instance as this one sees it.
type PeerStatus struct {
	Instance  string `json:"instance"`
	Zone      string `json:"zone"`
	Reachable bool   `json:"reachable"`
	Leaving   bool   `json:"leaving"`
	Out       bool   `json:"out"`
}

// ServerStatus is a backend server as this instance sees it. The state is one of package replica's for a server that
// this instance owns a share of, out for one that operators took out, and else elsewhere: its owner knows. The counts
// are those of its owner and are zero elsewhere.
type ServerStatus struct {
	Server      string         `json:"server"`
	Service     string         `json:"service"`
	Zone        string         `json:"zone"`
	Owner       string         `json:"owner"`
	State       string         `json:"state"`
	Reason      verdict.Reason `json:"reason"`
	Since       time.Time      `json:"since"`
	Slots       int            `json:"slots-share"`
	Connections int            `json:"connections-share"`
	Open        int            `json:"connections-open"`
	InFlight    int            `json:"in-flight"`
	Waiting     int            `json:"waiting"`
	Ramp        int            `json:"ramp"`
}

// LoadStatus counts attempts; hedges and retries are the extra load.
type LoadStatus struct {
	Queries int64 `json:"queries"`
	Firsts  int64 `json:"firsts"`
	Hedges  int64 `json:"hedges"`
	Retries int64 `json:"retries"`
	Silent  int64 `json:"silent-connections"`
}

// Reporter tells operators and health checks about this instance.
type Reporter interface {
	// Ready tells whether the balancer may send callers here, else why not.
	Ready() (bool, verdict.Reason)
	Status() Status
	// Burn returns the report on service-level objectives; nil if there is none.
	Burn() any
}

// NewOperators returns a server of the operators' interface. Health checks need no key, because balancers have
// none; everything else does.
func NewOperators(reporter Reporter, metrics http.Handler, key []byte) *http.Server {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]bool{"alive": true})
	}).Methods(http.MethodGet)
	router.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		ready, reason := reporter.Ready()
		status := http.StatusOK
		if !ready {
			status = http.StatusServiceUnavailable
		}
		writeJSON(w, status, map[string]any{"ready": ready, "reason": reason})
	}).Methods(http.MethodGet)
	guarded := router.NewRoute().Subrouter()
	guarded.Use(withKey(key))
	guarded.Handle("/metrics", metrics).Methods(http.MethodGet)
	guarded.HandleFunc("/v1/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, reporter.Status())
	}).Methods(http.MethodGet)
	guarded.HandleFunc("/v1/burn", func(w http.ResponseWriter, _ *http.Request) {
		if reporter.Burn() == nil {
			http.Error(w, "no report on service-level objectives", http.StatusNotImplemented)
			return
		}
		writeJSON(w, http.StatusOK, reporter.Burn())
	}).Methods(http.MethodGet)
	return &http.Server{
		Handler: router, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: api.MaxHeaderBytes - headerSlack,
	}
}

// withKey compares digests, so that the time of the comparison depends neither on the content nor on the length
// of the key. An empty key lets nobody in.
func withKey(key []byte) mux.MiddlewareFunc {
	want := sha256.Sum256(key)
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			given, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			got := sha256.Sum256([]byte(given))
			if subtle.ConstantTimeCompare(want[:], got[:]) != 1 || !bearer || len(key) == 0 {
				w.Header().Set("WWW-Authenticate", "Bearer")
				writeRefusal(w, http.StatusUnauthorized, &api.Refusal{
					Verdict: verdict.NotRun, Reason: verdict.Unauthorised, Detail: "needs the operator key",
				})
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}
