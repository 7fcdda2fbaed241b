// Package httpapi serves HTTP: the caller interface on one listener, and operators and health checks on another.
//
// It owns no state beyond the requests in progress. It never sends anything to a backend server: queries go to a
// Service, and what operators read comes from a Reporter.
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
	// headerTimeout and bodyTimeout bound how long a slow caller holds a connection before its request is whole.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 10 * time.Second
	// writeTimeout bounds the writing of an answer to a caller that reads slowly. It starts when the answer is
	// ready, so that a long query does not use it up.
	writeTimeout = 10 * time.Second
	idleTimeout  = 75 * time.Second
	// headerSlack is what net/http reads beyond MaxHeaderBytes; subtracting it makes the limit exact.
	headerSlack = 4 << 10
)

// Request is a caller's query after all checks of form.
type Request struct {
	Application string
	Query       api.Query
	// Body is the request as it came; a ticket is bound to its content.
	Body []byte
	// Deadline is the caller's deadline, counted from the arrival of the whole request.
	Deadline time.Time
}

// Service answers queries and issues tickets. A refusal that is not nil takes the place of the answer.
type Service interface {
	Query(ctx context.Context, request Request) (json.RawMessage, *api.Refusal)
	Tickets(ctx context.Context, count int) (api.Tickets, *api.Refusal)
}

// NewCallers returns a server of the caller interface; its listener is given to Serve.
func NewCallers(service Service, metrics *telemetry.Telemetry) *http.Server {
	c := callers{service: service, metrics: metrics}
	// A path that is not clean is refused like any other that does not exist; a redirect would not be a refusal.
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/v1/applications/{application}/query", c.query).Methods(http.MethodPost)
	router.HandleFunc("/v1/tickets", c.tickets).Methods(http.MethodPost)
	router.NotFoundHandler = fixedRefusal(http.StatusNotFound, "no such path")
	router.MethodNotAllowedHandler = fixedRefusal(http.StatusMethodNotAllowed, "method not allowed")
	return &http.Server{
		Handler: router, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: api.MaxHeaderBytes - headerSlack,
	}
}

func fixedRefusal(status int, detail string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, status, &api.Refusal{Verdict: verdict.NotRun, Reason: verdict.InvalidRequest, Detail: detail, Field: "path"})
	})
}

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
	c.metrics.Query(telemetry.Query{Route: routeOf(r, reason), Reason: reason, Elapsed: time.Since(started)})
	if refusal != nil {
		writeRefusal(w, statusOf(refusal), refusal)
		return
	}
	write(w, http.StatusOK, answer)
}

// routeOf returns the application of a query for the metrics. A name that no configuration has confirmed is left out:
// callers could fill the metrics with them.
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
	left := time.Duration(min(query.DeadlineMillis, maxDeadlineMillis)) * time.Millisecond
	return c.service.Query(r.Context(), Request{
		Application: mux.Vars(r)["application"], Query: query, Body: body, Deadline: arrived.Add(left),
	})
}

func (c callers) tickets(w http.ResponseWriter, r *http.Request) {
	body, refusal := readBody(w, r)
	var asked api.TicketRequest
	if refusal == nil {
		refusal = decode(body, &asked)
	}
	if refusal == nil && (asked.Count < 1 || asked.Count > api.MaxTickets) {
		refusal = malformed("", "count", "must be 1 to "+strconv.Itoa(api.MaxTickets))
	}
	var tickets api.Tickets
	if refusal == nil {
		tickets, refusal = c.service.Tickets(r.Context(), asked.Count)
	}
	if refusal != nil {
		c.metrics.Query(telemetry.Query{Reason: refusal.Reason})
		writeRefusal(w, statusOf(refusal), refusal)
		return
	}
	writeJSON(w, http.StatusOK, tickets)
}

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

func write(w http.ResponseWriter, status int, body []byte) {
	err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return // The connection is gone.
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// statusOf maps a refusal to a status. Callers decide by verdict and reason; the status is for what stands between.
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
