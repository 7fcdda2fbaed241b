package follow

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnusableEntriesOfPeers guards against entries that a peer of another build passes on although they name nothing to
// use: a port out of range, names that are missing or too long, times that overflow.
func TestUnusableEntriesOfPeers(t *testing.T) {
	const good = `{"replica":"r","entry":{"id":"r","service":"s","zone":"a","address":"10.0.0.1:80","slots":2}}`
	for name, test := range map[string]struct {
		change string
		usable bool
	}{
		"good":                 {good, true},
		"port 65536":           {`{"replica":"r","entry":{"id":"r","service":"s","zone":"a","address":"10.0.0.1:65536","slots":2}}`, false},
		"port 0":               {`{"replica":"r","entry":{"id":"r","service":"s","zone":"a","address":"10.0.0.1:0","slots":2}}`, false},
		"no slots":             {`{"replica":"r","entry":{"id":"r","service":"s","zone":"a","address":"10.0.0.1:80"}}`, false},
		"no zone":              {`{"replica":"r","entry":{"id":"r","service":"s","address":"10.0.0.1:80","slots":2}}`, false},
		"instance":             {`{"instance":"i","registered":{"id":"i","zone":"a","peers":"10.0.0.1:70"}}`, true},
		"instance, no zone":    {`{"instance":"i","registered":{"id":"i","peers":"10.0.0.1:70"}}`, false},
		"instance, port -1":    {`{"instance":"i","registered":{"id":"i","zone":"a","peers":"10.0.0.1:-1"}}`, false},
		"instance, no address": {`{"instance":"i","registered":{"id":"i","zone":"a","peers":""}}`, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var message updateMessage
			is.NoErr(json.Unmarshal([]byte(`{"revision":7,"changes":[`+test.change+`,`+good+`]}`), &message))
			for i := range message.Changes {
				message.Changes[i].RemoveInMillis, message.Changes[i].ColdMillis = 1<<62, 1<<62
			}
			now := time.Now()
			update, err := message.decode(nil, now)
			is.NoErr(err)
			is.Equal(len(update.Changes), 2)
			first := update.Changes[0]
			is.Equal(first.RegisteredReplica != nil || first.RegisteredInstance != nil, test.usable)
			is.True(update.Changes[1].RegisteredReplica != nil)               // the good one holds
			is.True(update.Changes[1].RemoveAt.After(now))                    // and not before now
			is.True(update.Changes[1].RegisteredReplica.ColdUntil.After(now)) // nor this
		})
	}
}
