package httpapi

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// TestDocument guards against limits and status codes in docs/api.md that differ from those of the code.
func TestDocument(t *testing.T) {
	text, err := os.ReadFile("../../docs/api.md")
	is.New(t).NoErr(err)
	for _, want := range []string{
		fmt.Sprintf("at most 1 MiB (%s bytes) and headers %d KiB", "1,048,576", api.MaxHeaderBytes>>10),
		fmt.Sprintf("| `id` | string | 1 to %d bytes", maxIDLength),
		fmt.Sprintf("at most %d names of 1 to %d bytes", maxShards, maxShardLength),
		fmt.Sprintf("at most %d bytes | makes the request safe", maxTicketLength),
		fmt.Sprintf("| `count` | 1 to %d |", api.MaxTickets),
		fmt.Sprintf("within %s\nand the body within %s; the connection may be reused for %.0f s", unit(headerTimeout.Seconds()), unit(bodyTimeout.Seconds()), idleTimeout.Seconds()),
	} {
		if !strings.Contains(string(text), want) {
			t.Errorf("docs/api.md lacks %q", want)
		}
	}
	is.New(t).Equal(api.MaxBodyBytes, 1_048_576)
	for _, reason := range verdict.Reasons() {
		status := statusOf(&api.Refusal{Reason: reason})
		row := fmt.Sprintf("| %d | every other reason", status)
		if status != 503 {
			row = fmt.Sprintf("\n| %d | ", status)
		}
		_, after, found := strings.Cut(string(text), row)
		line, _, _ := strings.Cut(after, "\n")
		if !found || status != 503 && !strings.Contains(line, "`"+reason.String()+"`") {
			t.Errorf("docs/api.md does not give status %d for %s", status, reason)
		}
	}
}

func unit(seconds float64) string { return fmt.Sprintf("%.0f s", seconds) }
