package coordination

import (
	"net/http"
	"sync"
)

// conditionalTransport makes GET requests conditional on the entity tag of the last accepted response. With 44,000
// backend servers the instance list has 7.5 MB, and reading it every second only to learn that nothing has changed
// takes a sixth of a core. If the platform sends no tags, the requests are unconditional.
type conditionalTransport struct {
	// next sends the requests; nil stands for http.DefaultTransport.
	next http.RoundTripper

	mutex sync.Mutex
	// acceptedTag is the tag of the last response that could be used, latestTag that of the last response.
	acceptedTag, latestTag string
}

// RoundTrip implements http.RoundTripper.
func (t *conditionalTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.mutex.Lock()
	tag := t.acceptedTag
	t.mutex.Unlock()
	if tag != "" {
		request = request.Clone(request.Context())
		request.Header.Set("If-None-Match", tag)
	}
	next := t.next
	if next == nil {
		next = http.DefaultTransport
	}
	response, err := next.RoundTrip(request)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.latestTag = ""
	if err == nil && response.StatusCode == http.StatusOK {
		t.latestTag = response.Header.Get("ETag")
	}
	return response, err
}

// acceptLatest makes the next requests conditional on the last response.
func (t *conditionalTransport) acceptLatest() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.acceptedTag = t.latestTag
}
