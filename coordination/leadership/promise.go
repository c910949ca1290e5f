package leadership

import (
	"sort"
	"time"
)

// MaxVoters bounds the voters of a lease: enough to bear the loss of three
// gateways or of a failure domain, few enough to be asked at any size.
const MaxVoters = 7

// Promises is what one gateway has promised. It is kept in memory: a process
// that has just started counts as having promised at its start, as the process
// before it may have.
type Promises struct {
	term  uint64
	last  time.Time
	given bool
}

// NewPromises returns the promises of a process that starts now.
func NewPromises(now time.Time) *Promises { return &Promises{last: now, given: true} }

// Grant promises the leader of the term to stand by it for the time Term. It is
// refused once a later term is known.
func (p *Promises) Grant(now time.Time, term uint64) bool {
	if term < p.term {
		return false
	}
	p.term, p.last, p.given = term, now, true
	return true
}

// Inquire notes a later term and returns whether a promise to a former one was
// given, and how long ago.
func (p *Promises) Inquire(now time.Time, term uint64) (given bool, age time.Duration) {
	p.term = max(p.term, term)
	return p.given, now.Sub(p.last)
}

// Majority is the least number of voters of which any two groups overlap.
func Majority(voters int) int { return voters/2 + 1 }

// VoterCandidate is a gateway that may become a voter.
type VoterCandidate struct {
	Address string
	Domain  string
}

// ChooseVoters picks up to MostVoters gateways, in turn from each failure
// domain. Those that were voters before stay as long as they live, so that the
// list seldom changes.
func ChooseVoters(live []VoterCandidate, former []string) []string {
	was := make(map[string]bool, len(former))
	for _, a := range former {
		was[a] = true
	}
	byDomain := make(map[string][]VoterCandidate)
	var domains []string
	for _, v := range live {
		if byDomain[v.Domain] == nil {
			domains = append(domains, v.Domain)
		}
		byDomain[v.Domain] = append(byDomain[v.Domain], v)
	}
	sort.Strings(domains)
	for _, d := range domains {
		group := byDomain[d]
		sort.Slice(group, func(i, j int) bool {
			if was[group[i].Address] != was[group[j].Address] {
				return was[group[i].Address]
			}
			return group[i].Address < group[j].Address
		})
	}
	var out []string
	for round := 0; len(out) < min(MaxVoters, len(live)); round++ {
		for _, d := range domains {
			if round < len(byDomain[d]) && len(out) < MaxVoters {
				out = append(out, byDomain[d][round].Address)
			}
		}
	}
	sort.Strings(out)
	return out
}
