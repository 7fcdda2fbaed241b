package quarantine

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/panics"
)

const (
	// archiveInterval is the time between two writes to the store, each of at most maxArchived entries.
	archiveInterval = 2 * time.Second
	maxArchived     = 32
	// archiveTimeout limits a write.
	archiveTimeout = time.Second
	// maxAge bounds the age of what messages say.
	maxAge = 30 * 24 * time.Hour
)

// Archive is the part of the store that holds quarantined requests.
type Archive interface {
	// Write stores the values and removes others. It is idempotent.
	Write(ctx context.Context, values map[Fingerprint][]byte, removed []Fingerprint) error
}

// archivedEntry is a held request as the store keeps it, for instances that start when no other one runs.
type archivedEntry struct {
	entryMessage
	// WrittenAt is the Unix time in milliseconds to which the ages in the message refer.
	WrittenAt int64 `json:"written-at"`
}

// Archivist writes the requests that this instance holds or has cleared to the store.
type Archivist struct {
	ledger  *Ledger
	archive Archive
}

// NewArchivist returns an archivist for the ledger.
func NewArchivist(ledger *Ledger, archive Archive) *Archivist { return &Archivist{ledger, archive} }

// Run writes changes until ctx ends, the first ones at once.
func (a *Archivist) Run(ctx context.Context) {
	for {
		select {
		case <-a.ledger.archivable:
		case <-ctx.Done():
			return
		}
		func() {
			defer panics.Recover("write quarantine to the store", nil)
			a.write(ctx)
		}()
		sleep(ctx, archiveInterval)
	}
}

func (a *Archivist) write(ctx context.Context) {
	values, removed := a.ledger.takeUnarchived(maxArchived, time.Now())
	if len(values)+len(removed) == 0 {
		return
	}
	writeCtx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	if err := a.archive.Write(writeCtx, values, removed); err != nil {
		klog.InfoS("Quarantine not written to the store", "held", len(values), "cleared", len(removed), "err", err)
		a.ledger.returnUnarchived(values, removed)
		return
	}
	klog.InfoS("Quarantine written to the store", "held", len(values), "cleared", len(removed))
}

// takeUnarchived returns up to limit changes that the store does not have: the values of held requests, and the requests
// that are not held any more.
func (l *Ledger) takeUnarchived(limit int, now time.Time) (values map[Fingerprint][]byte, removed []Fingerprint) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	values = make(map[Fingerprint][]byte)
	for identity := range l.unarchived {
		if len(values)+len(removed) == limit {
			l.archiveLater(identity)
			break
		}
		delete(l.unarchived, identity)
		e := l.entries[identity]
		if !e.held() {
			removed = append(removed, identity)
			continue
		}
		value, err := json.Marshal(archivedEntry{encode(identity, e, now), now.UnixMilli()})
		if err != nil {
			klog.ErrorS(err, "Quarantined request not encoded", "fingerprint", identity)
			continue
		}
		values[identity] = value
	}
	return values, removed
}

func (l *Ledger) returnUnarchived(values map[Fingerprint][]byte, removed []Fingerprint) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for identity := range values {
		l.archiveLater(identity)
	}
	for _, identity := range removed {
		l.archiveLater(identity)
	}
}

// archiveLater marks a request whose hold began or ended here to be written to the store. The caller holds the lock.
func (l *Ledger) archiveLater(identity Fingerprint) {
	l.unarchived[identity] = struct{}{}
	select {
	case l.archivable <- struct{}{}:
	default:
	}
}

// Restore adds a held request that the store has.
func (l *Ledger) Restore(value []byte, now time.Time) error {
	var archived archivedEntry
	if err := json.Unmarshal(value, &archived); err != nil {
		return err
	}
	message := archived.entryMessage
	passed := min(max(0, now.UnixMilli()-archived.WrittenAt), maxAge.Milliseconds())
	message.HeldMillis = max(0, message.HeldMillis-passed)
	message.ClearedMillis = 0
	for i := range message.Crashes {
		message.Crashes[i].AgeMillis = min(message.Crashes[i].AgeMillis+passed, maxAge.Milliseconds())
	}
	l.merge([]entryMessage{message}, nil, now)
	return nil
}
