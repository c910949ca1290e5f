package gateway

// gauges sets what is read at the moment of the question.
func (g *Gateway) gauges() {
	m := g.meters
	m.gauge("log.lines_written", g.lines.Written())
	m.gauge("log.lines_dropped", g.lines.Dropped())
	m.gauge("leader.leading", boolGauge(g.cluster.isLeading()))
	m.gauge("leader.may_act", boolGauge(g.leading.mayAct()))
	m.gauge("cluster.gateways", int64(g.cluster.gateways()))
	m.gauge("store.away", boolGauge(g.calls.away()))
	lost, _, _ := g.follower.lostFor()
	m.gauge("view.leader_heard_ms_ago", lost.Milliseconds())
	if t := g.view.table.Load(); t != nil {
		m.gauge("view.configuration_version", int64(t.Version))
	}
	if v := g.view.inst.Load(); v != nil {
		m.gauge("view.upstreams", int64(v.Len()))
		m.gauge("view.upstreams_revision", int64(v.Revision))
	}
	for name, t := range *g.view.owners.Load() {
		m.gauge("owners."+name+".keys_without_owner", int64(t.Unowned()))
		m.gauge("owners."+name+".spans", int64(len(t.Spans)))
	}
	stats := g.conns.Stats()
	m.gauge("connections.opened", int64(stats.Opened))
	m.gauge("connections.reused", int64(stats.Reused))
	m.gauge("connections.stale", int64(stats.Stale))
	m.gauge("connections.foreign_answers", int64(stats.Foreign))
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
