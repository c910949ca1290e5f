package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

// unavailableSample is the sample size of the histograms.
const histogramSampleSize = 4096

// outages measures, for each range of the cell, the time between the last
// moment its owner could serve and the first moment the next one could, as this
// entry saw it. It is guarded by the caller.
type outages struct {
	ongoing map[outageID]outage
}

type outageID struct {
	service string
	first   keyspace.Hash
}

type outage struct {
	span    keyspace.Span
	since   time.Time
	planned bool
}

// compare notes ranges that lost their owner and reports those that have one
// again. LastSeen returns the last answer of an upstream.
func (o *outages) update(old, doc *cell.Cell, now time.Time, lastAnswer func(string) time.Time, registry metrics.Registry) {
	if o.ongoing == nil {
		o.ongoing = make(map[outageID]outage)
	}
	for _, s := range doc.Services {
		for _, r := range s.Ranges {
			id := outageID{s.Name, r.First}
			current, ok := o.ongoing[id]
			switch {
			case r.Phase == cell.Owned && ok:
				name := "unavailable_us.unplanned"
				if current.planned {
					name = "unavailable_us.planned"
				}
				h := metrics.GetOrRegisterHistogram(name, registry, metrics.NewUniformSample(histogramSampleSize))
				h.Update(now.Sub(current.since).Microseconds())
				delete(o.ongoing, id)
			case r.Phase == cell.Releasing && !ok && wasOwned(old, s.Name, r):
				o.ongoing[id] = newOutage(doc, r, now, lastAnswer)
			case r.Phase == cell.Exported:
				delete(o.ongoing, id)
			}
		}
	}
}

func wasOwned(old *cell.Cell, service string, r cell.Range) bool {
	if old == nil {
		return false
	}
	s := old.Service(service)
	if s == nil {
		return false
	}
	i := s.Find(r.First)
	return i >= 0 && s.Ranges[i].Phase == cell.Owned
}

// began returns the start of an outage: for a lost owner its last answer.
func newOutage(doc *cell.Cell, r cell.Range, now time.Time, lastAnswer func(string) time.Time) outage {
	out := outage{span: r.Span, since: now, planned: true}
	if u := doc.Upstream(r.Owner); u != nil && u.State == cell.Lost {
		out.planned = false
		if at := lastAnswer(r.Owner); !at.IsZero() {
			out.since = at
		}
	}
	return out
}
