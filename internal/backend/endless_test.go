package backend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/memory"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// endless writes the head and then the same text until the connection is closed; it counts the bytes.
func endless(head, text string, written *atomic.Int64) script {
	return func(conn net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, strings.ReplaceAll(head, "ID", r.Header.Get("Id")))
		for chunk := strings.Repeat(text, 1+4096/len(text)); ; {
			n, err := io.WriteString(conn, chunk)
			written.Add(int64(n))
			if err != nil {
				return false
			}
		}
	}
}

// TestEndlessAnswers guards against bytes that are no answer and come until the caller closes, in a head or a body: they must
// end with a bound on bytes long before the deadline, and be judged as the server's failure.
func TestEndlessAnswers(t *testing.T) {
	// The kernel's buffers on both sides take some megabytes that nobody reads.
	const socketBuffers = 12 << 20
	head := "HTTP/1.1 200 OK\r\nId: ID\r\n"
	for name, test := range map[string]struct {
		head, text string
		most       int64
	}{
		"interim answers":          {"", "HTTP/1.1 100 Continue\r\n\r\n", maxHeaderBytes},
		"interim answers, large":   {"", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 3000) + "\r\n\r\n", maxHeaderBytes},
		"header lines":             {head, "X-Line: more\r\n", maxHeaderBytes},
		"one header line":          {head + "X-Line: ", "more", maxHeaderBytes},
		"status line":              {"", "HTTP/1.1 200 ", maxHeaderBytes},
		"nothing like HTTP":        {"", "\x00\xff", maxHeaderBytes},
		"empty lines":              {"", "\r\n", maxHeaderBytes},
		"body with a length":       {head + "Content-Length: 9000000000\r\n\r\n", "body", maxAnswerBytes},
		"body without a length":    {head + "\r\n", "body", maxAnswerBytes},
		"chunks":                   {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n", maxAnswerBytes},
		"one chunk":                {head + "Transfer-Encoding: chunked\r\n\r\nffffffffffff\r\n", "body", maxAnswerBytes},
		"chunk extensions":         {head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 1000) + "\r\n.\r\n", maxAnswerBytes},
		"one chunk extension":      {head + "Transfer-Encoding: chunked\r\n\r\n4;", "x", maxAnswerBytes},
		"chunk size":               {head + "Transfer-Encoding: chunked\r\n\r\n", "0", maxAnswerBytes},
		"trailers":                 {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Line: more\r\n", maxAnswerBytes},
		"answers of other callers": {"", okAnswer("other", "body"), maxAnswerBytes},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var written atomic.Int64
			s := serveScript(t, endless(test.head, test.text, &written))
			r := NewRelay(nil)
			began := time.Now()
			_, failure := r.Do(t.Context(), s.Server, 2, messageOf("mine", 20*time.Second))
			is.True(failure != nil)
			is.Equal(failure.Reason, verdict.BadAnswer)
			is.Equal(failure.Verdict, verdict.MayHaveRun)
			is.True(time.Since(began) < 10*time.Second) // it does not wait for its deadline
			is.True(written.Load() < test.most+socketBuffers)
		})
	}
}

// TestMemoryOfAnswers guards against many servers that each send a large answer at once: what all answers hold together stays
// within the account, small answers are not hindered, and everything is given back.
func TestMemoryOfAnswers(t *testing.T) {
	is := is.New(t)
	const most = 16 << 20
	account := memory.New(most)
	var written atomic.Int64
	hostile := serveScript(t, endless("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 7000000\r\n\r\n", "body", &written))
	sound := serveScript(t, func(conn net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, okAnswer(r.Header.Get("Id"), strings.Repeat("x", 2000)))
		return true
	})
	r := NewRelay(nil)
	ask := func(s *scripted, id string, limit int) *verdict.Error {
		reservation := account.Open()
		defer reservation.Close()
		message := messageOf(id, 20*time.Second)
		message.Reserve = reservation.Take
		_, failure := r.Do(t.Context(), s.Server, limit, message)
		return failure
	}
	var failed atomic.Int32
	done := make(chan struct{}, 180)
	for i := range 180 {
		go func() {
			if failure := ask(hostile, fmt.Sprint("hostile-", i), 200); failure != nil {
				failed.Add(1)
			}
			done <- struct{}{}
		}()
	}
	for i := range 50 {
		is.True(ask(sound, fmt.Sprint("sound-", i), 2) == nil)
	}
	for range 180 {
		<-done
	}
	is.True(failed.Load() > 0) // 180 of 7 MB are more than the account holds
	is.True(account.Peak() <= most)
	is.Equal(account.Used(), int64(0))
}

// TestBoundOfAPart guards against an answer that is far larger than its route's answers ever are.
func TestBoundOfAPart(t *testing.T) {
	is := is.New(t)
	s := serveScript(t, func(conn net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, okAnswer(r.Header.Get("Id"), strings.Repeat("x", 70000)))
		return true
	})
	r := NewRelay(nil)
	message := messageOf("a", time.Second)
	message.MostBody = 70000
	_, failure := r.Do(t.Context(), s.Server, 2, message)
	is.True(failure == nil)
	message = messageOf("b", time.Second)
	message.MostBody = 69999
	_, failure = r.Do(t.Context(), s.Server, 2, message)
	is.Equal(failure.Reason, verdict.BadAnswer)
}

// TestSecondCopyForARetry guards against the second copy of a rejection that is taken for the answer to the same request sent
// again: the server runs the request while its caller is told that it has not run.
func TestSecondCopyForARetry(t *testing.T) {
	is := is.New(t)
	var rejected atomic.Bool
	s := serveScript(t, func(conn net.Conn, r *http.Request, _ int) bool {
		id := r.Header.Get("Id")
		if rejected.CompareAndSwap(false, true) {
			_, _ = io.WriteString(conn, rejection(id))
			time.AfterFunc(60*time.Millisecond, func() { _, _ = io.WriteString(conn, rejection(id)) })
			return true
		}
		time.Sleep(150 * time.Millisecond) // it works
		_, _ = io.WriteString(conn, okAnswer(id, "ran"))
		return true
	})
	r := NewRelay(nil)
	once := func() (Answer, *verdict.Error) {
		message := messageOf("same", time.Second)
		message.ID = "same"
		return r.Do(t.Context(), s.Server, 2, message)
	}
	answer, failure := once()
	is.True(failure == nil)
	is.Equal(answer.Status, http.StatusServiceUnavailable)
	time.Sleep(30 * time.Millisecond) // the copy is not there yet
	answer, failure = once()
	is.True(failure == nil)
	is.Equal(answer.Status, http.StatusOK)
	is.Equal(string(answer.Body), "ran")
}

func rejection(id string) string {
	return "HTTP/1.1 503 Full\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"
}

// TestUncertainAnswer guards against an answer without the request's id that is followed by the true one: the next request on
// the connection must not wait behind what is left of this one.
func TestUncertainAnswer(t *testing.T) {
	is := is.New(t)
	s := serveScript(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	r := NewRelay(nil)
	for range 3 {
		message := messageOf("a", time.Second)
		message.Mine = func(http.Header) (mine, sure bool) { return true, false }
		_, failure := r.Do(t.Context(), s.Server, 2, message)
		is.True(failure == nil)
	}
	is.Equal(s.connections.Load(), int32(3))
}

// TestShortageOfMemory guards against a server that is taken for faulty because other answers hold the memory, or because its
// request has ended: only one that has already sent far more than usual answers have is.
func TestShortageOfMemory(t *testing.T) {
	for name, test := range map[string]struct {
		bytes  int
		room   int64 // of the account
		closed bool
		want   verdict.Reason
	}{
		"usual answer, no room":       {20 << 10, 5 << 10, false, verdict.Overloaded},
		"usual answer, request ended": {20 << 10, 1 << 20, true, verdict.Overloaded},
		"large answer, no room":       {1 << 20, 256 << 10, false, verdict.BadAnswer},
		"usual answer, room":          {20 << 10, 1 << 20, false, verdict.None},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serveScript(t, func(conn net.Conn, r *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, okAnswer(r.Header.Get("Id"), strings.Repeat("x", test.bytes)))
				return true
			})
			held := memory.New(test.room).Open()
			if test.closed {
				held.Close()
			}
			message := messageOf("a", 5*time.Second)
			message.Reserve = held.Take
			_, failure := NewRelay(nil).Do(t.Context(), s.Server, 2, message)
			if test.want == verdict.None {
				is.True(failure == nil)
				return
			}
			is.Equal(failure.Reason, test.want)
			is.Equal(failure.Verdict, verdict.MayHaveRun)
		})
	}
}
