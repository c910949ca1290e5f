package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

// histogramSampleSize is the sample size of the outage histograms.
const histogramSampleSize = 4096

// outages measures, for each range of the cell, how long the range was unavailable
// from this entry's point of view: from the last moment its owner could serve it to
// the first moment its next owner could. It is not safe for concurrent use.
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

// update starts an outage for each range that lost its owner, and records the
// duration of the outages of ranges that have an owner again. The function
// lastResponse returns the time of an upstream's last response.
func (o *outages) update(old, doc *cell.Cell, now time.Time, lastResponse func(string) time.Time, registry metrics.Registry) {
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
				o.ongoing[id] = newOutage(doc, r, now, lastResponse)
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

// newOutage returns an outage that starts now or, if the owner was lost, with the
// owner's last response.
func newOutage(doc *cell.Cell, r cell.Range, now time.Time, lastResponse func(string) time.Time) outage {
	out := outage{span: r.Span, since: now, planned: true}
	if u := doc.Upstream(r.Owner); u != nil && u.State == cell.Lost {
		out.planned = false
		if at := lastResponse(r.Owner); !at.IsZero() {
			out.since = at
		}
	}
	return out
}
