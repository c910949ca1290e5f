package gateway

import "strings"

// metric describes a family of values that a gateway serves as text. The catalog is the only
// place that defines their names; docs/METRICS.md lists it.
type metric struct {
	// Name is a pattern in which parts in braces stand for a label such as a route or a
	// service.
	Name    string
	Unit    string
	Meaning string
}

// Patterns of metric names. The methods of meters fill in the parts in braces.
const (
	startReady                 = "start.ready_ms"
	startWaited                = "start.waited"
	startRefused               = "start.refused"
	routeOutcome               = "route.{route}.{outcome}"
	routeTries                 = "route.{route}.tries"
	routeRepeated              = "route.{route}.repeated"
	routeHedged                = "route.{route}.hedged"
	routeRead                  = "route.{route}.read_us"
	routeWait                  = "route.{route}.wait_us"
	routeUpstream              = "route.{route}.upstream_us"
	routeTotal                 = "route.{route}.total_us"
	routeWork                  = "route.{route}.work_percent"
	routeSpread                = "route.{route}.spread_percent"
	tryOutcome                 = "tries.{service}.{class}.{outcome}"
	budgetLeft                 = "budget.{service}.left"
	budgetRefused              = "budget.{service}.refused"
	queueWaiting               = "queue.{service}.waiting"
	callersOverShare           = "callers.{service}.over_share"
	retryPlaced                = "retry.{service}.placed"
	retryUnplaced              = "retry.{service}.unplaced"
	queueLate                  = "queue.{service}.late"
	queueExcess                = "queue.{service}.excess"
	capacitySlots              = "room.{service}.slots"
	capacityInFlight           = "room.{service}.in_flight"
	capacityUsable             = "room.{service}.usable_upstreams"
	ownersContended            = "room.{service}.contended_owners"
	sharesByOdds               = "room.{service}.owners_by_odds"
	coldGranted                = "cold.{service}.granted"
	coldRefused                = "cold.{service}.refused"
	coldAsUsual                = "cold.{service}.as_usual"
	coldFactor                 = "cold.{service}.factor_percent"
	coldShare                  = "cold.{service}.share_percent"
	capacityRejecting          = "room.{service}.rejecting_upstreams"
	poolLoad                   = "room.{service}.pool_load_percent"
	keysWithoutOwner           = "owners.{service}.keys_without_owner"
	longestOwnerGap            = "owners.{service}.longest_without_owner_ms"
	ownerGapDuration           = "owners.{service}.without_owner_us"
	ownersSpans                = "owners.{service}.spans"
	ownersBusiest              = "owners.{service}.busiest_percent"
	ownersMean                 = "owners.{service}.mean_percent"
	ownersMoving               = "owners.{service}.moving"
	ownersFailing              = "owners.{service}.failing_upstreams"
	ownersUnanswered           = "owners.{service}.calls_unanswered"
	ownersExpiredHolds         = "owners.{service}.expired_holds"
	ownersOutdatedGrants       = "owners.{service}.outdated_grants"
	ownersFirstGrant           = "owners.{service}.first_grant_ms"
	ownersAllGranted           = "owners.{service}.all_granted_ms"
	storeCall                  = "store.{kind}.{operation}.{answer}"
	storeRelayed               = "store.relayed"
	storeSearchRounds          = "store.sought"
	watchHeard                 = "watch.{kind}.heard_ms_ago"
	storeUnreachable           = "store.away"
	storeBytesIn               = "store.bytes_in"
	upstreamsInvalid           = "view.unsound.{source}"
	evacuationsInvalid         = "view.evacuations_unsound"
	viewEvacuated              = "view.evacuated_domains"
	viewEvacRevision           = "view.evacuations_revision"
	reportAnswer               = "reports.{answer}"
	newsBytesIn                = "news.bytes_in"
	newsBytesOut               = "news.bytes_out"
	viewVersion                = "view.configuration_version"
	viewUpstreams              = "view.upstreams"
	viewRevision               = "view.upstreams_revision"
	viewAge                    = "view.age_ms"
	viewUpstreamsBehind        = "view.upstreams_behind_ms"
	viewUpstreamsIgnored       = "view.upstreams_ignored"
	ownersUnchanged            = "owners.{service}.unchanged_ms"
	viewConfigurationConfirmed = "view.configuration_confirmed_ms"
	viewConfigurationAge       = "view.configuration_age_ms"
	partsFetched               = "news.parts_fetched"
	partsLeft                  = "news.parts_left"
	piecesFetched              = "news.pieces_fetched"
	piecesFailed               = "news.pieces_failed"
	leaderHeard                = "view.leader_heard_ms_ago"
	leaderLeading              = "leader.leading"
	leaderMayAct               = "leader.may_act"
	clusterSize                = "cluster.gateways"
	connOpened                 = "connections.opened"
	connReused                 = "connections.reused"
	connStale                  = "connections.stale"
	connForeignResponses       = "connections.foreign_answers"
	connTooLarge               = "connections.too_large"
	connEndedForMemory         = "connections.ended_for_memory"
	connDistrusted             = "connections.distrusted"
	responsesNotWritten        = "answers.not_taken"
	refusalsAmbiguous          = "answers.refusals_ambiguous"
	loadsInvalid               = "answers.load_unsound"
	limitsInvalid              = "answers.limit_unsound"
	suspectsKnown              = "suspects.known"
	suspectsStopped            = "suspects.stopped"
	suspectsCrashes            = "suspects.crashes"
	reachCuts                  = "reach.cuts"
	reachHandOvers             = "reach.hand_overs"
	reachCutOff                = "reach.cut_off"
	reachNoNewConnections      = "reach.no_new_connections"
	forwardAnswered            = "forward.answered"
	forwardNotTaken            = "forward.not_taken"
	forwardBroken              = "forward.broken"
	forwardServed              = "forward.served"
	forwardRefused             = "forward.refused"
	suspectsUnconfirmed        = "suspects.ends_unconfirmed"
	suspectsContradicted       = "suspects.ends_contradicted"
	suspectsRefused            = "suspects.refused"
	suspectsHeld               = "suspects.held"
	suspectsInvalid            = "suspects.unsound"
	limitsAnnounced            = "limits.{service}.named"
	limitedTries               = "limits.{service}.sent"
	unreadResponseHeaders      = "answers.{service}.unread_headers"
	restsInvalid               = "answers.rest_unsound"
	noticesLeaving             = "notices.{service}.leaving"
	noticesResting             = "notices.{service}.resting"
	noticesSentLeaving         = "notices.{service}.sent_to_leaving"
	noticesSentResting         = "notices.{service}.sent_to_resting"
	clockSuspensions           = "clock.suspensions"
	clockSuspended             = "clock.suspended_ms"
	bytesHeld                  = "bytes.held"
	bytesRefused               = "bytes.refused"
	bytesCrossed               = "bytes.crossed.{kind}"
	bytesRefusedLink           = "bytes.refused_link"
	logWritten                 = "log.lines_written"
	logDropped                 = "log.lines_dropped"
)

// catalog lists all metrics.
var catalog = []metric{
	{startReady, "ms", "from the start of the process until it was ready for the first time; none before that"},
	{startWaited, "waits", "of requests for the first configuration, list of upstreams or table of owners"},
	{startRefused, "requests", "refused because one of these did not come in time, or is not to be expected while the store is away"},
	{routeOutcome, "requests", "final responses: `answered`, or the kind of the error (protocol/answer)"},
	{routeTries, "tries", "requests sent to an upstream, first tries included"},
	{routeRepeated, "tries", "retries after a failure or a refusal"},
	{routeHedged, "tries", "hedged tries, sent while another try is overdue"},
	{routeRead, "µs", "phase: from the headers to the end of the body"},
	{routeWait, "µs", "phase: waiting in this gateway for capacity of an upstream or for the owner of a key, first try"},
	{routeUpstream, "µs", "phase: from the first send to the response that is forwarded"},
	{routeTotal, "µs", "from the headers to the end of writing the response, for answered requests"},
	{routeWork, "percent", "mean work of the route's runs, of the mean of its service; 100 until this gateway has seen enough runs of two routes"},
	{routeSpread, "percent", "standard deviation of the work of the route's runs, of their mean; 100 until it is known"},
	{tryOutcome, "tries", "outcomes of tries, by whether the upstream is in this gateway's failure domain (class `own`) or not (`other`): answered, failed, broken, full, not_owner, unreachable, refused, silent, left"},
	{budgetLeft, "tries", "retries that this gateway may still make in the window"},
	{budgetRefused, "tries", "retries not made because the budget was used up"},
	{queueWaiting, "requests", "waiting in this gateway's queue"},
	{callersOverShare, "requests", "refused while there was no room because their callers asked for more than their shares"},
	{retryPlaced, "requests", "refused for want of room with the time of a place that is likely to be free"},
	{retryUnplaced, "requests", "refused for want of room when no place was left within the caller's time"},
	{queueLate, "requests", "refused while they waited because they could no longer be in time or had waited long enough"},
	{queueExcess, "requests", "refused while they waited because more work waited than can be run in time; of those, the callers with most time left"},
	{capacitySlots, "requests", "slots of all known upstreams"},
	{capacityInFlight, "requests", "in flight at the upstreams, from this gateway and as reported by the others"},
	{capacityUsable, "upstreams", "that may currently get requests"},
	{ownersContended, "upstreams", "owners of keys that had as many requests as slots in the last 3 s, according to this gateway"},
	{sharesByOdds, "upstreams", "contended owners to which this gateway admits requests by odds, because its share is less than half a slot"},
	{coldGranted, "requests", "for cold keys that were sent to the owner"},
	{coldRefused, "requests", "refused because their key is cold and its owner has no room for that"},
	{coldAsUsual, "requests", "for keys marked cold that were treated as any other, because runs have shown that the keys are not cold"},
	{coldFactor, "percent", "measured run time of requests for cold keys, relative to the usual one"},
	{coldShare, "percent", "share of the runs for keys marked cold that were cold"},
	{capacityRejecting, "upstreams", "that had no room for a request in the last second, at any gateway, as far as this one deals with them"},
	{poolLoad, "percent", "requests in flight at an uneven pool, from all gateways, relative to a full pool; from 85 on each gateway keeps to its share; 0 for keyed services and even pools"},
	{keysWithoutOwner, "keys", "without an owner, according to this gateway's view"},
	{longestOwnerGap, "ms", "the longest time that a key has been without an owner so far"},
	{ownerGapDuration, "µs", "time that spans of keys were without an owner, recorded when they get one"},
	{ownersSpans, "spans", "ranges of consecutive keys with one owner"},
	{ownersBusiest, "percent", "utilization of the most utilized owner, from the demand for its keys; only in the leader"},
	{ownersMean, "percent", "utilization of all upstreams together; only in the leader"},
	{ownersMoving, "moves", "in progress; only in the leader"},
	{ownersFailing, "upstreams", "whose control calls fail; only in the leader"},
	{ownersUnanswered, "calls", "grants, renewals, releases and trial calls that were sent and got no response"},
	{ownersExpiredHolds, "spans", "spans taken from an owner without a release, because its hold had expired"},
	{ownersOutdatedGrants, "calls", "grants and renewals that were sent and ended after their span had been split or had begun to move"},
	{ownersFirstGrant, "ms", "from the takeover of the assignment by the present leader to its first grant, 0 before that; only in the leader"},
	{ownersAllGranted, "ms", "the same to the last first grant of a span, 0 while one has not been granted; only in the leader"},
	{storeCall, "calls", "direct calls by kind of object, operation (list, get, watch, create, replace, remove) and answer: a status code or `none`"},
	{storeRelayed, "calls", "store calls relayed by another gateway"},
	{storeSearchRounds, "rounds", "in which other gateways were asked for changes because a pending watch received nothing"},
	{watchHeard, "ms", "since this gateway's own list or watch of this kind of objects last got a response, even without changes; it only watches while it leads or hears from no leader"},
	{storeUnreachable, "0 or 1", "the store is unreachable, both directly and through other gateways"},
	{storeBytesIn, "bytes", "bodies of complete responses to direct calls"},
	{upstreamsInvalid, "upstreams", "for which an invalid value was received and dropped, by source: entry (in the store), news or report (other gateways)"},
	{evacuationsInvalid, "evacuations", "received and dropped because the failure domain had no name or no revision or was beyond the bound"},
	{viewEvacuated, "failure domains", "evacuated, according to this gateway's view"},
	{viewEvacRevision, "revision", "the highest revision of evacuations that this gateway knows"},
	{reportAnswer, "reports", "to other gateways, including those of a search for the leader, by outcome: ok, late (no complete response in time), refused (connection refused), failed (any other error), stale (answered by a gateway that has not heard from the leader)"},
	{newsBytesIn, "bytes", "read from connections to other gateways: their responses, complete or not"},
	{newsBytesOut, "bytes", "written to connections from other gateways and operators: responses to them, complete or not"},
	{viewVersion, "version", "configuration in force"},
	{viewUpstreams, "upstreams", "registered"},
	{viewRevision, "revision", "of the view of upstreams"},
	{viewUpstreamsBehind, "ms", "for which the parent has had upstreams that this gateway lacks; 0 if it lacks none"},
	{viewUpstreamsIgnored, "lists", "of upstreams from other gateways that were older than the view or could not be applied to it"},
	{viewAge, "ms", "since this gateway last received an update of configuration, upstreams and owners, or a confirmation that there is none"},
	{viewConfigurationAge, "ms", "since the configuration in force was last known to be current; beyond 2,200 unknown routes are refused as not run instead of not found"},
	{viewConfigurationConfirmed, "ms", "since the configuration in force was certainly current, counted from when the store was asked; beyond the bound that `revocation_timeout` sets, requests with credentials are refused as not run"},
	{partsFetched, "parts", "of updates, fetched separately from other gateways because they are too large for a response to a report"},
	{partsLeft, "parts", "whose fetch did not complete; what has arrived is kept for the next try"},
	{piecesFetched, "pieces", "of parts"},
	{piecesFailed, "pieces", "that did not arrive in time or that the other gateway no longer had"},
	{ownersUnchanged, "ms", "since the owners of the service last changed in this gateway's view"},
	{leaderHeard, "ms", "since the leader was last heard; 0 in the leader"},
	{leaderLeading, "0 or 1", "this gateway leads"},
	{leaderMayAct, "0 or 1", "this gateway leads and its lease has not expired"},
	{clusterSize, "gateways", "known gateways, including this one"},
	{connOpened, "connections", "opened to upstreams"},
	{connReused, "requests", "sent on reused connections"},
	{connStale, "connections", "idle ones that turned out to be closed when they were to be reused"},
	{connForeignResponses, "answers", "that belong to a different request than the one sent"},
	{connTooLarge, "answers", "that were given up because their head or body exceeded its limit, or for the memory of all of them"},
	{connEndedForMemory, "answers", "that were given up as the largest one while all that were being read exceeded their share of the memory"},
	{connDistrusted, "connections", "idle ones closed after another connection to the same address stopped responding"},
	{responsesNotWritten, "answers", "that could not be written to the client"},
	{refusalsAmbiguous, "tries", "refused by an upstream to which the request was sent more than once, so that the refusal may be a copy of an earlier one; the outcome is unknown"},
	{loadsInvalid, "answers", "that reported an invalid load of the upstream; it was dropped"},
	{limitsInvalid, "answers", "that announced an invalid limit of the upstream; it was dropped"},
	{suspectsKnown, "requests", "suspect requests remembered by this gateway: in progress at an upstream when it crashed"},
	{suspectsStopped, "requests", "suspect requests that are no longer sent"},
	{suspectsCrashes, "crashes", "crashes of upstreams with requests in progress, as seen by this gateway, counted once per request"},
	{reachCuts, "times", "at which this gateway reached no upstream any more"},
	{reachHandOvers, "times", "at which this gateway gave the leader's lease up because it reached no upstream"},
	{reachCutOff, "0 or 1", "whether this gateway reaches no upstream: none answers, and none accepts connections"},
	{reachNoNewConnections, "0 or 1", "whether no upstream accepts connections from this gateway; open ones may work"},
	{forwardAnswered, "requests", "forwarded to another gateway and answered by it, while this one reached no upstream"},
	{forwardNotTaken, "tries", "of forwarding a request that another gateway did not take; it has not run"},
	{forwardBroken, "tries", "of forwarding a request that ended without a response of the other gateway"},
	{forwardServed, "requests", "that other gateways forwarded to this one, and that it took"},
	{forwardRefused, "requests", "that other gateways forwarded to this one, and that it refused: it is stopping, reaches no upstream either, or serves too many of them"},
	{suspectsUnconfirmed, "connections", "that an upstream refused without counting as its end, because no comparable upstream took one"},
	{suspectsContradicted, "ends", "of upstreams, concluded here or reported by another gateway, after which the same process has answered"},
	{suspectsHeld, "requests", "held for up to 0.4 s, because it was not known yet whether their last run had ended one upstream too many"},
	{suspectsRefused, "requests", "refused by this gateway because they have crashed too many upstreams"},
	{suspectsInvalid, "messages", "of other gateways about suspect requests that were beyond the bound and dropped"},
	{limitsAnnounced, "upstreams", "that announce a limit on the requests from all gateways together, according to this gateway's view"},
	{limitedTries, "tries", "sent by this gateway to upstreams that announce a limit"},
	{unreadResponseHeaders, "headers", "of upstreams' responses that no code interprets, counted once per response"},
	{restsInvalid, "answers", "that asked for an invalid rest (a pause in requests); it was dropped"},
	{noticesLeaving, "upstreams", "that have announced to this gateway that they are leaving"},
	{noticesResting, "upstreams", "that have asked this gateway for a rest that has not ended"},
	{noticesSentLeaving, "tries", "sent by this gateway to upstreams that had announced that they are leaving"},
	{noticesSentResting, "tries", "sent by this gateway to upstreams during a rest that they had asked for"},
	{clockSuspensions, "suspensions", "of the machine, detected from its clocks"},
	{clockSuspended, "ms", "total time for which the machine was suspended"},
	{bytesHeld, "bytes", "of requests, of responses and of those still expected from upstreams, held for callers; new requests are refused beyond a quarter of `memory_mb`"},
	{bytesRefused, "requests", "refused at once, and second tries not made, because too many bytes are held"},
	{bytesCrossed, "bytes", "of responses received from upstreams in other failure domains, complete or not, by kind: owners (of keys) and pools"},
	{bytesRefusedLink, "requests", "of `bytes.refused`, large responses that the link would not carry in time"},
	{logWritten, "lines", "written"},
	{logDropped, "lines", "dropped because they exceeded the rate limits or were not written out in time"},
}

// fillPattern replaces the parts in braces by the labels, in order.
func fillPattern(pattern string, labels ...string) string {
	for _, label := range labels {
		open, end := strings.IndexByte(pattern, '{'), strings.IndexByte(pattern, '}')
		if open < 0 || end < open {
			break
		}
		pattern = pattern[:open] + label + pattern[end+1:]
	}
	return pattern
}
