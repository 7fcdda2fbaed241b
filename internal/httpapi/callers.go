// Package httpapi implements the HTTP servers of an entry instance: the caller interface, and the operator interface
// with the health checks.
//
// The package checks the form of requests and encodes answers. A Service runs the queries, and a Reporter supplies what
// operators read, so the package owns no state beyond its connections and the requests in progress. It never sends
// anything to a backend server.
package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/medlarlatch/medlarlatch/internal/telemetry"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// headerTimeout and bodyTimeout limit the reading of the header and of the whole request, both from the start of
	// the request, so that a slow caller does not hold a connection for long.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 10 * time.Second
	// writeTimeout limits the writing of an answer to a caller that reads slowly. On the caller interface it counts
	// from when the answer is ready, so that a long query does not use it up.
	writeTimeout = 10 * time.Second
	idleTimeout  = 75 * time.Second
	// headerSlack is how many bytes net/http reads beyond MaxHeaderBytes. It is subtracted to make the limit exact.
	headerSlack = 4 << 10
)

// Request is a caller's query that has passed all checks of form.
type Request struct {
	Application string
	Query       api.Query
	// Body is the request body as received; a ticket is bound to its content.
	Body []byte
	// Deadline is the caller's deadline; deadline-millis counts from when the whole request has been read.
	Deadline time.Time
}

// Service runs queries and issues tickets. If the refusal is not nil, it is sent in place of the answer.
type Service interface {
	Query(ctx context.Context, request Request) (json.RawMessage, *api.Refusal)
	Tickets(ctx context.Context, count int) (api.Tickets, *api.Refusal)
}

// NewCallerServer returns a server of the caller interface. The caller passes the listener to its Serve method.
func NewCallerServer(service Service, metrics *telemetry.Telemetry) *http.Server {
	c := callers{service: service, metrics: metrics}
	// SkipClean makes an unclean path, such as one with two slashes, an unknown path. Otherwise the router would answer
	// with a redirect, which has no refusal in its body.
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/v1/applications/{application}/query", c.query).Methods(http.MethodPost)
	router.HandleFunc("/v1/tickets", c.tickets).Methods(http.MethodPost)
	router.NotFoundHandler = refusalHandler(http.StatusNotFound, "no such path")
	router.MethodNotAllowedHandler = refusalHandler(http.StatusMethodNotAllowed, "method not allowed")
	return &http.Server{
		Handler: router, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: api.MaxHeaderBytes - headerSlack,
	}
}

// refusalHandler returns a handler that refuses every request with the status and the detail.
func refusalHandler(status int, detail string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, status, &api.Refusal{Verdict: verdict.NotRun, Reason: verdict.InvalidRequest, Detail: detail, Field: "path"})
	})
}

// callers handles the requests of the caller interface.
type callers struct {
	service Service
	metrics *telemetry.Telemetry
}

func (c callers) query(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	answer, refusal := c.answer(w, r)
	reason := verdict.None
	if refusal != nil {
		reason = refusal.Reason
	}
	c.metrics.RecordQuery(telemetry.Query{Route: routeOf(r, reason), Reason: reason, Elapsed: time.Since(started)})
	if refusal != nil {
		writeRefusal(w, statusOf(refusal), refusal)
		return
	}
	write(w, http.StatusOK, answer)
}

// routeOf returns the application of a query as a label of the metrics. It is empty if the reason says that the name
// has not been found in a configuration, because invented names would add label values without limit.
func routeOf(r *http.Request, reason verdict.Reason) string {
	switch reason {
	case verdict.InvalidRequest, verdict.UnknownApplication, verdict.NotReady:
		return ""
	}
	return mux.Vars(r)["application"]
}

func (c callers) answer(w http.ResponseWriter, r *http.Request) (json.RawMessage, *api.Refusal) {
	body, refusal := readBody(w, r)
	if refusal != nil {
		return nil, refusal
	}
	arrived := time.Now()
	query, refusal := ParseQuery(body)
	if refusal != nil {
		return nil, refusal
	}
	remaining := time.Duration(min(query.DeadlineMillis, maxDeadlineMillis)) * time.Millisecond
	return c.service.Query(r.Context(), Request{
		Application: mux.Vars(r)["application"], Query: query, Body: body, Deadline: arrived.Add(remaining),
	})
}

func (c callers) tickets(w http.ResponseWriter, r *http.Request) {
	body, refusal := readBody(w, r)
	var request api.TicketRequest
	if refusal == nil {
		refusal = decode(body, &request)
	}
	if refusal == nil && (request.Count < 1 || request.Count > api.MaxTickets) {
		refusal = invalidRequest("", "count", "must be 1 to "+strconv.Itoa(api.MaxTickets))
	}
	var tickets api.Tickets
	if refusal == nil {
		tickets, refusal = c.service.Tickets(r.Context(), request.Count)
	}
	if refusal != nil {
		c.metrics.RecordQuery(telemetry.Query{Reason: refusal.Reason})
		writeRefusal(w, statusOf(refusal), refusal)
		return
	}
	writeJSON(w, http.StatusOK, tickets)
}

// writeRefusal writes a refusal, with its retry time in the Retry-After header, rounded up to whole seconds.
func writeRefusal(w http.ResponseWriter, status int, refusal *api.Refusal) {
	if refusal.RetryAfterMillis > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((refusal.RetryAfterMillis+999)/1000, 10))
	}
	writeJSON(w, status, refusal)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	write(w, status, body)
}

// write sends an answer, with a new write deadline where the connection supports one.
func write(w http.ResponseWriter, status int, body []byte) {
	err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return // The connection is closed.
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// statusOf returns the HTTP status of a refusal. Callers go by the verdict and the reason; the status is for proxies
// and load balancers in between.
func statusOf(refusal *api.Refusal) int {
	switch refusal.Reason {
	case verdict.InvalidRequest, verdict.DeadlineTooShort:
		return http.StatusBadRequest
	case verdict.Unauthorised:
		return http.StatusUnauthorized
	case verdict.UnknownApplication, verdict.UnknownShard, verdict.TicketUnknown:
		return http.StatusNotFound
	case verdict.TicketReused, verdict.ResultDropped:
		return http.StatusConflict
	case verdict.TicketExpired:
		return http.StatusGone
	case verdict.DeadlinePassed:
		return http.StatusGatewayTimeout
	case verdict.BadAnswer, verdict.ServerError, verdict.ConnectionLost:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
