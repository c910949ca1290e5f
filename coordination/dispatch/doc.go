// Package dispatch decides, within one gateway, which upstream of a service gets a request, which
// requests wait and which are refused.
//
// Many gateways share the few slots of an upstream without coordinating each request. Each gateway
// estimates an upstream's delay from its own measurements, from its own requests in flight, from
// the load that the upstream reports, and from the reports of the other gateways. It uses no more
// than its share of the capacity that these show. Requests without capacity wait here, in order of
// priority, as long as a response in time is likely. All others are refused at once.
//
// Decisions are deterministic for a given clock and random source.
package dispatch
