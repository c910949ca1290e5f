package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/platform"
)

// pagedChanges is a transport to a store with a number of changes, of which each watch brings a page.
type pagedChanges struct {
	changes, page uint64
	calls         int
	// failAt is the number of the call that fails; zero if none does.
	failAt int
}

// Call implements platform.Transport.
func (p *pagedChanges) Call(_ context.Context, c platform.Call) (int, []byte, error) {
	p.calls++
	if p.calls == p.failAt {
		return http.StatusServiceUnavailable, nil, nil
	}
	_, query, _ := strings.Cut(c.Target, "?")
	q, err := url.ParseQuery(query)
	if err != nil {
		return 0, nil, err
	}
	after, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	if err != nil {
		return 0, nil, err
	}
	body := platform.EventsBody{AtRev: p.changes}
	for revision := after + 1; revision <= min(after+p.page, p.changes); revision++ {
		e := platform.EventBody{Object: platform.ObjectBody{Spec: json.RawMessage(`{}`)}}
		e.Object.Metadata.Name, e.Object.Metadata.Revision = fmt.Sprint(revision), revision
		body.Events = append(body.Events, e)
	}
	data, err := json.Marshal(body)
	return http.StatusOK, data, err
}

// TestBacklogIsReadAtOnce checks that thousands of changes which an answer cannot hold come as one, that
// few changes cost no further call, and that changes are kept when a further call fails.
func TestBacklogIsReadAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		store       *pagedChanges
		want, calls int
	}{
		"few":       {&pagedChanges{changes: 3, page: 500}, 3, 1},
		"thousands": {&pagedChanges{changes: 10_003, page: 500}, 10_003, 21},
		"failure":   {&pagedChanges{changes: 10_003, page: 500, failAt: 4}, 1500, 4},
	} {
		log, v := slog.New(slog.DiscardHandler), newView()
		w := newWatcher(platform.NewStore(c.store), v, newEvacuations(v, time.Now, log, newMeters()), time.Now, log, newMeters())
		changes, next, err := w.watchBacklog(context.Background(), platform.InstancesKind, 0)
		if err != nil || len(changes) != c.want || c.store.calls != c.calls {
			t.Errorf("%s: %d changes in %d calls, error %v, want %d in %d", name, len(changes), c.store.calls, err, c.want, c.calls)
		}
		if revision := nextRevision(0, changes, next); revision != uint64(c.want) {
			t.Errorf("%s: the next watch starts from revision %d, want %d", name, revision, c.want)
		}
	}
}
