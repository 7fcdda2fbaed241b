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

// Status is the body of the response to GET /v1/status: the current state of an entry instance, and since when it
// holds. The reasons are the same codes as in answers and metrics.
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

// ConfigurationStatus is the revision of the configuration in force and where it came from.
type ConfigurationStatus struct {
	Revision uint64 `json:"revision"`
	// Since is when this instance adopted the revision.
	Since time.Time `json:"since"`
	// WriteID is the id of the write that created the revision.
	WriteID string `json:"write-id"`
	// Origin says whether the revision came from the store or from a peer; Peer is the id of that peer.
	Origin string `json:"origin"`
	Peer   string `json:"peer,omitempty"`
	// StoreAlive reports whether this instance watches the store and its last call to it succeeded.
	StoreAlive bool `json:"store-alive"`
}

// AdmissionStatus is the limit of queries in progress and their current number.
type AdmissionStatus struct {
	Limit    int `json:"bound"`
	InFlight int `json:"in-flight"`
}

// PeerStatus is the state of another entry instance as known to this one.
type PeerStatus struct {
	Instance     string `json:"instance"`
	Zone         string `json:"zone"`
	Reachable    bool   `json:"reachable"`
	Leaving      bool   `json:"leaving"`
	OutOfService bool   `json:"out"`
}

// ServerStatus is the state of a backend server as known to this instance. State is a state of package replica for a
// server that this instance owns a share of. Of the others, it is "out" for a server that operators have taken out of
// service, "leaving" for one that the instance list reports as leaving, and "elsewhere" for one whose state only its
// owner knows. The counts are those of this instance's share, and zero if it owns none.
type ServerStatus struct {
	Server           string         `json:"server"`
	Service          string         `json:"service"`
	Zone             string         `json:"zone"`
	Owner            string         `json:"owner"`
	State            string         `json:"state"`
	Reason           verdict.Reason `json:"reason"`
	Since            time.Time      `json:"since"`
	SlotsShare       int            `json:"slots-share"`
	ConnectionsShare int            `json:"connections-share"`
	ConnectionsOpen  int            `json:"connections-open"`
	InFlight         int            `json:"in-flight"`
	Queued           int            `json:"waiting"`
	Ramp             int            `json:"ramp"`
}

// LoadStatus counts the queries and the attempts for them since the start. Hedges and retries are load beyond the first
// attempts.
type LoadStatus struct {
	Queries           int64 `json:"queries"`
	FirstAttempts     int64 `json:"firsts"`
	Hedges            int64 `json:"hedges"`
	Retries           int64 `json:"retries"`
	SilentConnections int64 `json:"silent-connections"`
}

// Reporter supplies the state of this instance to the operator interface and the health checks.
type Reporter interface {
	// Ready reports whether the load balancer may send callers to this instance, and the reason if not.
	Ready() (bool, verdict.Reason)
	Status() Status
	// Burn returns the body of the response to GET /v1/burn, the counts for burn rates of service-level objectives; nil
	// if there is none.
	Burn() any
}

// NewOperatorServer returns a server of the operator interface. Health checks need no key, because load balancers have
// none; all other paths require it.
func NewOperatorServer(reporter Reporter, metrics http.Handler, key []byte) *http.Server {
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
	authenticated := router.NewRoute().Subrouter()
	authenticated.Use(requireKey(key))
	authenticated.Handle("/metrics", metrics).Methods(http.MethodGet)
	authenticated.HandleFunc("/v1/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, reporter.Status())
	}).Methods(http.MethodGet)
	authenticated.HandleFunc("/v1/burn", func(w http.ResponseWriter, _ *http.Request) {
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

// requireKey returns a middleware that refuses requests without the key as bearer token. It compares digests, so that
// the time of the comparison depends neither on the content nor on the length of the key. If key is empty, it refuses
// every request.
func requireKey(key []byte) mux.MiddlewareFunc {
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
