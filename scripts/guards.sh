#!/usr/bin/env bash
# guards.sh [CHECKS]: mutation test of the safety checks ("guards"). Removes one
# guard at a time from a copy of the tree and verifies that a fuzz test then
# fails, or else a unit test in coordination/. Prints one line for each guard;
# exits with status 1 if any removal goes undetected.
set -u
cd "$(dirname "$0")/.." || exit 1
CHECKS=${1:-300}
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
AT_ONCE=6

# guard NAME FILE OLD NEW TEST: replace OLD with NEW in a copy of the tree and run one
# fuzz test; if it passes, run the unit tests in coordination/.
guard() {
	local copy=$WORK/$1 result
	mkdir -p "$copy"
	git ls-files -z | xargs -0 cp --parents -t "$copy" 2>/dev/null
	if ! OLD=$3 NEW=$4 perl -0pi -e '$n = s/\Q$ENV{OLD}\E/$ENV{NEW}/; END { exit !$n }' "$copy/$2"; then
		echo "$1: NOT noticed: the guard was not found in $2"
		return
	fi
	result=$(cd "$copy" && go test ./proof -run "$5" -rapid.checks="$CHECKS" -rapid.steps=50 -rapid.seed=7 \
		-rapid.nofailfile -rapid.shrinktime=1s 2>&1)
	if echo "$result" | grep -q '^--- FAIL'; then
		printf '%-22s noticed: %s\n' "$1" "$(echo "$result" | grep -m1 'rapid\] ' | sed 's/.*rapid\] //' | cut -c1-150)"
	elif result=$(cd "$copy" && go test ./coordination/... 2>&1) && false || echo "$result" | grep -q '^--- FAIL'; then
		printf '%-22s noticed by %s, not by the fuzz\n' "$1" "$(echo "$result" | grep -m1 -o 'FAIL: Test[A-Za-z/]*')"
	else
		printf '%-22s NOT noticed: %s\n' "$1" "$(echo "$result" | tail -1)"
	fi
	rm -rf "$copy"
}

# queue: run guard in the background, at most AT_ONCE at the same time.
queue() {
	while [ "$(jobs -rp | wc -l)" -ge "$AT_ONCE" ]; do sleep 0.2; done
	guard "$@" | tee -a "$WORK/results" &
}

queue wait-for-silent coordination/fence/fence.go 'return ok && !now.Before(blocked.Add(s.limits.voterTTL()+grace))' '_ = blocked; return ok' OneOwnerUnderPartitions
queue promise-after-fence coordination/fence/fence.go 'if version < s.floor {' 'if false {' OneOwnerUnderPartitions
queue majority coordination/fence/fence.go 'return h.scratch[len(voters)/2]' 'return h.scratch[0]' OneOwnerUnderPartitions
queue previous-quorums coordination/fence/fence.go 'append(slices.Clone(doc.Previous), doc.Quorum)' '[]cell.Quorum{doc.Quorum}' OneOwnerWithTwoEntries
queue lease-wait coordination/controller/step.go 'return reset || !now.Before(c.leaseEnds[r.Owner])' 'return true' OneOwnerWithFencedUpstreams
queue lease-within-right coordination/lease/lease.go 'min(t.limits.TTL, rightUntil.Sub(s.answeredAt))' 't.limits.TTL' OneOwnerUnderPartitions
queue late-renewal standin/upstream/owner.go 'min(time.Duration(r.UntilNanos), o.clock()+maxLease)' 'o.clock() + 1200*time.Millisecond' OneOwnerUnderPartitions
queue boot-of-grant standin/upstream/owner.go 'if g.Boot != o.boot {' 'if false {' OneOwnerWithFencedUpstreams
queue busy coordination/gate/gate.go 'if s.Inflight() > 0 && !g.stillOwned(s) {' 'if s.Inflight() > 1<<40 {' OneOwnerWithUnfencedUpstreams
queue older-document coordination/gate/gate.go 'if g.doc != nil && doc.Version <= g.doc.Version {' 'if false {' OneOwnerWithFencedUpstreams
queue unchecked-grace coordination/controller/core.go 'return c.limits.MaxDeadline' 'return 0' OneOwnerWithUnfencedUpstreams
queue grant-after-release coordination/controller/step.go 'r.Phase == cell.Releasing && c.released(now, u.Service, r)' 'r.Phase == cell.Releasing' OneOwnerWithFencedUpstreams
queue settled coordination/controller/step.go '	if !c.settled {
		return false
	}
	u := c.doc' '	u := c.doc' OneOwnerUnderPartitions
queue incarnation-order coordination/controller/identity.go 'startA > startB' 'startA != startB' OneOwnerWithFencedUpstreams
queue epoch-of-skip coordination/handover/handover.go '	r.Owner = r.Next
	r.Epoch++
	r.Phase = cell.Releasing' '	r.Owner = r.Next
	r.Phase = cell.Releasing' OneOwnerWithFencedUpstreams
wait
! grep -q 'NOT noticed' "$WORK/results"
