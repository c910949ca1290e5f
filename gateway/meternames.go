package gateway

import "strings"

// metric describes a family of values that a gateway serves as text. This list is the
// only place of their names; docs/METRICS.md shows it.
type metric struct {
	// Name is a pattern: parts in braces stand for a route, a service and the like.
	Name    string
	Unit    string
	Meaning string
}

// The names. Parts in braces are filled in by the functions of meters.
const (
	routeOutcome         = "route.{route}.{outcome}"
	routeTries           = "route.{route}.tries"
	routeRepeated        = "route.{route}.repeated"
	routeHedged          = "route.{route}.hedged"
	routeRead            = "route.{route}.read_us"
	routeWait            = "route.{route}.wait_us"
	routeUpstream        = "route.{route}.upstream_us"
	routeTotal           = "route.{route}.total_us"
	tryOutcome           = "tries.{service}.{class}.{outcome}"
	budgetLeft           = "budget.{service}.left"
	budgetRefused        = "budget.{service}.refused"
	queueWaiting         = "queue.{service}.waiting"
	roomSlots            = "room.{service}.slots"
	roomInFlight         = "room.{service}.in_flight"
	roomUsable           = "room.{service}.usable_upstreams"
	ownersNone           = "owners.{service}.keys_without_owner"
	ownersLongest        = "owners.{service}.longest_without_owner_ms"
	ownersWithout        = "owners.{service}.without_owner_us"
	ownersSpans          = "owners.{service}.spans"
	ownersBusiest        = "owners.{service}.busiest_percent"
	ownersMean           = "owners.{service}.mean_percent"
	ownersMoving         = "owners.{service}.moving"
	ownersFailing        = "owners.{service}.failing_upstreams"
	ownersUnanswered     = "owners.{service}.calls_unanswered"
	storeCall            = "store.{kind}.{operation}.{answer}"
	storeRelayed         = "store.relayed"
	storeSought          = "store.sought"
	watchHeard           = "watch.{kind}.heard_ms_ago"
	storeAway            = "store.away"
	storeIn              = "store.bytes_in"
	upstreamsUnsound     = "view.unsound.{source}"
	evacuationsUnsound   = "view.evacuations_unsound"
	viewEvacuated        = "view.evacuated_domains"
	viewEvacRevision     = "view.evacuations_revision"
	reportAnswer         = "reports.{answer}"
	newsIn               = "news.bytes_in"
	newsOut              = "news.bytes_out"
	viewVersion          = "view.configuration_version"
	viewUpstreams        = "view.upstreams"
	viewRevision         = "view.upstreams_revision"
	viewAge              = "view.age_ms"
	ownersAge            = "owners.{service}.unchanged_ms"
	viewConfigurationAge = "view.configuration_age_ms"
	partsFetched         = "news.parts_fetched"
	partsLeft            = "news.parts_left"
	piecesFetched        = "news.pieces_fetched"
	piecesFailed         = "news.pieces_failed"
	leaderHeard          = "view.leader_heard_ms_ago"
	leaderLeading        = "leader.leading"
	leaderMayAct         = "leader.may_act"
	clusterSize          = "cluster.gateways"
	connOpened           = "connections.opened"
	connReused           = "connections.reused"
	connStale            = "connections.stale"
	connForeign          = "connections.foreign_answers"
	connDistrusted       = "connections.distrusted"
	answersLost          = "answers.not_taken"
	loadsUnsound         = "answers.load_unsound"
	limitsUnsound        = "answers.limit_unsound"
	suspectsKnown        = "suspects.known"
	suspectsStopped      = "suspects.stopped"
	suspectsCrashes      = "suspects.crashes"
	suspectsRefused      = "suspects.refused"
	suspectsUnsound      = "suspects.unsound"
	limitNamed           = "limits.{service}.named"
	limitSent            = "limits.{service}.sent"
	answersUnread        = "answers.{service}.unread_headers"
	restsUnsound         = "answers.rest_unsound"
	noticesLeaving       = "notices.{service}.leaving"
	noticesResting       = "notices.{service}.resting"
	noticesSentLeaving   = "notices.{service}.sent_to_leaving"
	noticesSentResting   = "notices.{service}.sent_to_resting"
	clockSuspensions     = "clock.suspensions"
	clockSuspended       = "clock.suspended_ms"
	logWritten           = "log.lines_written"
	logDropped           = "log.lines_dropped"
)

// catalog lists all metrics.
var catalog = []metric{
	{routeOutcome, "requests", "final answers: `answered`, or the kind of the error (protocol/answer)"},
	{routeTries, "tries", "sends to an upstream, first ones included"},
	{routeRepeated, "tries", "sent again after a failure or a refusal"},
	{routeHedged, "tries", "sent beside an overdue try"},
	{routeRead, "µs", "phase: from the headers to the whole body"},
	{routeWait, "µs", "phase: waiting here for an upstream's room or a key's owner, first try"},
	{routeUpstream, "µs", "phase: from the first send to the answer that counts"},
	{routeTotal, "µs", "from the headers to the answer written, answered requests"},
	{tryOutcome, "tries", "ends of tries; class `own` or `other` is the upstream's failure domain: answered, failed, broken, full, not_owner, unreachable, refused, silent, left"},
	{budgetLeft, "tries", "second tries that this gateway may still spend in the window"},
	{budgetRefused, "tries", "second tries not made for want of budget"},
	{queueWaiting, "requests", "waiting here for room or a turn"},
	{roomSlots, "requests", "slots of all upstreams known"},
	{roomInFlight, "requests", "in flight at them, from here and as the other gateways reported"},
	{roomUsable, "upstreams", "that may get requests at the moment"},
	{ownersNone, "keys", "held by nobody, as this gateway knows"},
	{ownersLongest, "ms", "how long the longest of them has been without an owner"},
	{ownersWithout, "µs", "how long spans of keys were without an owner, when that ended"},
	{ownersSpans, "spans", "of consecutive keys with one owner"},
	{ownersBusiest, "percent", "utilization of the owner that is utilized most, by what its keys are asked for; in the leader"},
	{ownersMean, "percent", "utilization of all upstreams together; in the leader"},
	{ownersMoving, "moves", "under way; in the leader"},
	{ownersFailing, "upstreams", "to which control calls fail; in the leader"},
	{ownersUnanswered, "calls", "grants, renewals, releases and trials that were sent and not answered"},
	{storeCall, "calls", "direct calls by kind of object, operation (list, get, watch, create, replace, remove) and answer: a status code or `none`"},
	{storeRelayed, "calls", "by way of another gateway"},
	{storeSought, "rounds", "in which other gateways were asked for changes, as a call that waits for them heard nothing"},
	{watchHeard, "ms", "since this gateway's own list or watch of the kind of objects was last answered, also with no changes; it only watches while it leads or hears from no leader"},
	{storeAway, "0 or 1", "no call succeeds, by no way"},
	{storeIn, "bytes", "bodies of complete answers to direct calls"},
	{upstreamsUnsound, "upstreams", "that something was said of which cannot be, and was dropped; by who said it: entry (in the store), news or report (other gateways)"},
	{evacuationsUnsound, "evacuations", "that were said of a failure domain without a name, without a revision or beyond the bound, and were dropped"},
	{viewEvacuated, "failure domains", "evacuated, as this gateway knows"},
	{viewEvacRevision, "revision", "the highest that this gateway knows of evacuations"},
	{reportAnswer, "reports", "to other gateways, looks for a leader among them, by how they ended: ok, late (no whole answer in time), refused (the connection), failed (any other error), stale (answered by one that has not heard from the leader)"},
	{newsIn, "bytes", "read from connections to other gateways: their answers, whole or not"},
	{newsOut, "bytes", "written to connections from other gateways and operators: answers to them, whole or not"},
	{viewVersion, "version", "configuration in force"},
	{viewUpstreams, "upstreams", "registered"},
	{viewRevision, "revision", "of the view of upstreams"},
	{viewAge, "ms", "since this gateway last had news, or word that there are none, of configuration, upstreams and owners"},
	{viewConfigurationAge, "ms", "since the configuration in force was known to be the newest; beyond 2,200 unknown routes are refused as not run, not as not found"},
	{partsFetched, "parts", "of the news, fetched from other gateways because they are too large for an answer to a report"},
	{partsLeft, "parts", "not fetched to the end; what has arrived is kept for the next try"},
	{piecesFetched, "pieces", "of parts"},
	{piecesFailed, "pieces", "that did not arrive in time, or that the other gateway did not have any more"},
	{ownersAge, "ms", "since the owners of the service last changed here"},
	{leaderHeard, "ms", "since the leader was heard; 0 in the leader"},
	{leaderLeading, "0 or 1", "this gateway leads"},
	{leaderMayAct, "0 or 1", "and its right has not run out"},
	{clusterSize, "gateways", "known, this one among them"},
	{connOpened, "connections", "opened to upstreams"},
	{connReused, "requests", "sent on kept connections"},
	{connStale, "connections", "kept ones that had ended when they were wanted"},
	{connForeign, "answers", "to other requests than the one waited for"},
	{connDistrusted, "connections", "idle ones closed after another to the same address fell silent"},
	{answersLost, "answers", "that the client did not take"},
	{loadsUnsound, "answers", "that told a load of the upstream which cannot be; it was dropped"},
	{limitsUnsound, "answers", "that named a limit of the upstream which cannot be; it was dropped"},
	{suspectsKnown, "requests", "that were on an upstream when it ended, as this gateway remembers"},
	{suspectsStopped, "requests", "of them that are sent no more"},
	{suspectsCrashes, "crashes", "ends of upstreams with a request on them, as seen from here, each request counted"},
	{suspectsRefused, "requests", "refused here as they have ended too many upstreams"},
	{suspectsUnsound, "messages", "of other gateways about such requests that are beyond the bound, and were dropped"},
	{limitNamed, "upstreams", "that name a limit on what they take from all gateways together, as this gateway knows"},
	{limitSent, "tries", "sent from here to upstreams that name a limit"},
	{answersUnread, "headers", "of upstreams' answers that no code reads, each answer counted"},
	{restsUnsound, "answers", "that asked for a rest which cannot be; it was dropped"},
	{noticesLeaving, "upstreams", "that have said to this gateway that they leave"},
	{noticesResting, "upstreams", "that have asked this gateway for rest, until its end"},
	{noticesSentLeaving, "tries", "sent from here to upstreams that had said that they leave"},
	{noticesSentResting, "tries", "sent from here to upstreams that had asked for rest, before its end"},
	{clockSuspensions, "suspensions", "of the machine, as its clocks show"},
	{clockSuspended, "ms", "for which it was suspended, in all"},
	{logWritten, "lines", "written"},
	{logDropped, "lines", "dropped, beyond the rates or not read"},
}

// fill puts labels into the braces of a pattern, in their order.
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
