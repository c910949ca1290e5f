package gateway

// updateColdKeyGauges sets the gauges of what this gateway has seen of keys that are marked cold.
func (t *traffic) updateColdKeyGauges(m *meters) {
	for name, s := range t.all() {
		s.mu.Lock()
		cold := s.dispatch.ColdKeys()
		s.mu.Unlock()
		m.gauge(m.service(coldGranted, name), int64(cold.Granted))
		m.gauge(m.service(coldRefused, name), int64(cold.Refused))
		m.gauge(m.service(coldAsUsual, name), int64(cold.AsUsual))
		m.gauge(m.service(coldFactor, name), int64(100*cold.Factor))
		m.gauge(m.service(coldShare, name), int64(100*cold.Share))
	}
}
