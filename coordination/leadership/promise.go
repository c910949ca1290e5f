package leadership

import (
	"sort"
	"time"
)

// MaxVoters bounds the voters of a lease: enough to tolerate the loss of three gateways or of a
// failure domain, and few enough to query in a cluster of any size.
const MaxVoters = 7

// MajorityPeriod is how long after its last renewal of the lease a holder may act by the promises of a majority of
// its voters. After that it needs the promises of all of them: then the answer of a single voter tells a successor
// until when the holder may act, even if the other voters are lost for good. While the store is unavailable for longer
// and a voter does not answer, no gateway leads.
const MajorityPeriod = 15 * time.Second

// NeededPromises returns how many of a number of voters must support a holder, for an extension that is requested
// the given time after the end of the right that its last renewal gave.
func NeededPromises(voters int, lapsed time.Duration) int {
	if lapsed+2*LeaseDuration <= MajorityPeriod {
		return Majority(voters)
	}
	return voters
}

// MajorityPeriodEnd returns the time by which no former holder acts by the promises of a majority any more, for a
// successor that has acquired the lease at the given time. period is the longest MajorityPeriod of the holders. The
// answer of a single voter is sufficient only if it was asked after that time: if it is asked earlier and restarts, its
// next process does not know of the question and may be part of a majority that supports the former holder again.
func MajorityPeriodEnd(acquired time.Time, period time.Duration) time.Time {
	return acquired.Add(period + period*clockDriftPercent/100 + takeoverMargin)
}

// Promises records what one gateway has promised. It is kept in memory only, so a new process is
// treated as having promised at its start, because the previous process may have done so. A new process
// does not know either which later terms the previous one has heard of.
type Promises struct {
	// started is when the process began.
	started time.Time
	term    uint64
	last    time.Time
	given   bool
}

// NewPromises returns the promises of a process that starts now.
func NewPromises(now time.Time) *Promises { return &Promises{started: now, last: now, given: true} }

// Grant promises the leader of the term not to support another leader for LeaseDuration. It returns
// false if a later term is known, or if the previous process at this address may have told a successor of
// the leader that it had promised nothing more, while the leader may still act.
func (p *Promises) Grant(now time.Time, term uint64) bool {
	if term < p.term || p.Uptime(now) < takeoverDelay {
		return false
	}
	p.term, p.last, p.given = term, now, true
	return true
}

// Uptime returns how long the process has run.
func (p *Promises) Uptime(now time.Time) time.Duration { return now.Sub(p.started) }

// PromiseCounts reports whether a promise supports a holder whose right ended the given time ago. The
// process of the voter, which has run for uptime, must have made promises while that right was valid:
// otherwise the previous process may have answered a successor since then.
func PromiseCounts(lapsed, uptime time.Duration) bool {
	return lapsed <= 0 || uptime-uptime*clockDriftPercent/100-takeoverDelay >= lapsed
}

// Inquire records a later term and returns whether a promise was given to an earlier one, and how
// long ago.
func (p *Promises) Inquire(now time.Time, term uint64) (given bool, age time.Duration) {
	p.term = max(p.term, term)
	return p.given, now.Sub(p.last)
}

// Majority returns the smallest number of voters for which any two groups overlap.
func Majority(voters int) int { return voters/2 + 1 }

// Blocking returns the smallest number of voters that are part of every majority: what they have not
// promised, no majority has. With an even number of voters it is one less than a majority.
func Blocking(voters int) int { return voters - Majority(voters) + 1 }

// VoterCandidate is a gateway that can be chosen as a voter.
type VoterCandidate struct {
	Address string
	Domain  string
}

// ChooseVoters picks up to MaxVoters gateways, taking one from each failure domain in turn. Former
// voters are preferred while they are live, so that the list rarely changes.
func ChooseVoters(live []VoterCandidate, former []string) []string {
	isFormer := make(map[string]bool, len(former))
	for _, a := range former {
		isFormer[a] = true
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
			if isFormer[group[i].Address] != isFormer[group[j].Address] {
				return isFormer[group[i].Address]
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
