package program

import (
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// TestTicketRunsOnce guards against a request with a ticket that runs twice when it is repeated at another instance, or
// after the instance that issued the ticket was killed or restarted.
func TestTicketRunsOnce(t *testing.T) {
	check := is.New(t)
	ctx := context.Background()
	c := start(t, settlementApplication)
	tickets, err := c.Tickets(ctx, 1, 3)
	check.NoErr(err)
	settle := func(entry, number int) (*api.Answer, *api.Refusal) {
		answer, refusal, err := c.Query(ctx, entry, settlementApplication, api.Query{
			ID: "s", DeadlineMillis: 2000, Ticket: tickets[number], Query: json.RawMessage(fmt.Sprintf(`{"key":"k-%d"}`, number)),
		})
		check.NoErr(err)
		return answer, refusal
	}
	first, refusal := settle(0, 0) // forwarded to the instance that issued the ticket
	check.Equal(refusal, nil)
	repeated, refusal := settle(3, 0)
	check.Equal(refusal, nil)
	check.Equal(first.Rows, repeated.Rows)
	_, refusal, err = c.Query(ctx, 2, settlementApplication, api.Query{
		ID: "s", DeadlineMillis: 2000, Ticket: tickets[0], Query: json.RawMessage(`{"key":"other"}`),
	})
	check.NoErr(err)
	check.True(refusal != nil && refusal.Reason == verdict.TicketReused)

	check.NoErr(c.Signal(1, syscall.SIGKILL))
	_ = c.Wait(1, 5*time.Second)
	for _, entry := range []int{0, 2, 3} {
		for number := range 2 {
			_, refusal = settle(entry, number)
			check.True(refusal != nil && refusal.Verdict == verdict.MayHaveRun)
		}
	}
	check.NoErr(c.StartEntry(1))
	check.NoErr(c.WaitReady(ctx))
	for entry := range c.Entries {
		_, refusal = settle(entry, 0)
		check.True(refusal != nil && refusal.Verdict == verdict.MayHaveRun)
	}
	report, err := c.Observed(ctx)
	check.NoErr(err)
	check.Equal(report.Effects.Keys, 1) // only the request with the first ticket took effect
	check.Equal(len(report.Effects.Duplicates), 0)
}
