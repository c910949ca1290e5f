package main

import (
	"fmt"
	"time"

	"github.com/rockcroft/rockcroft/platform"
)

// Figures of the case "limits".
const (
	formerHeaderBytes = 16384
	newHeaderBytes    = 65536
	// sentHeaderBytes is more than the former version of the manifest allows, and less than the new one.
	sentHeaderBytes = 40000
	// configApply is config_apply_s of the site, settled the time after it until requests are judged.
	configApply   = 2 * time.Second
	settled       = 3 * time.Second
	perGateway    = 20
	clientTimeout = 2 * time.Second
	// denied is what the rule DENIED allows: 5 and one in 500 of all requests.
	deniedFloor = 5
	deniedOneIn = 500
)

func limitsConfiguration(version uint64, maxHeader int) platform.ConfigBody {
	route := func(path string) platform.RouteBody {
		return platform.RouteBody{Host: host, Path: path, Kind: "safe", Timeout: 1.5, TargetLatency: 0.6, Priority: 2, Service: "kyc", MaxAttempts: 2}
	}
	routes := map[string]platform.RouteBody{"r-1": route("/kyc/")}
	if version > 1 {
		routes["r-2"] = route("/added/")
	}
	return platform.ConfigBody{
		Version: version, Routes: routes, Services: map[string]platform.ServiceBody{"kyc": {MaxConns: 130}},
		Limits: platform.LimitsBody{MaxHeader: maxHeader, MaxBody: 67108864, HeaderTimeout: 3, IdleTimeout: 15},
	}
}

// playLimits writes a manifest that raises max_header_bytes, and sends requests that it allows and the former one
// did not. Without the trouble the first manifest has the same limit already.
func playLimits(d *deployment, trouble bool) (broken bool, err error) {
	first := newHeaderBytes
	if trouble {
		first = formerHeaderBytes
	}
	if _, err := d.addGateways("bole", "kazanchis", "megenagna"); err != nil {
		return false, err
	}
	d.store.Put(platform.ConfigKind, platform.ConfigName, limitsConfiguration(1, first))
	for i, g := range d.gateways {
		u := &upstream{id: fmt.Sprintf("i-kyc-%d", i+1), rec: d.rec}
		address, err := serve("127.0.0.1", u)
		if err != nil {
			return false, err
		}
		d.register(u.id, "kyc", g.zone, address, "ready", 4)
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	if err := d.awaitAllReady(); err != nil {
		return false, err
	}
	time.Sleep(settled)
	requests := 0
	send := func(path string, headerBytes int) (ok, own4xx int) {
		for _, g := range d.gateways {
			for range perGateway {
				requests++
				a := d.get(g, path, fmt.Sprintf("q-%d", requests), headerBytes, clientTimeout)
				switch {
				case a.status == 200 && a.signed:
					ok++
				case a.status >= 300 && a.status < 500 && !a.signed && a.status != 408 && a.status != 421 && a.status != 429:
					own4xx++
				}
			}
		}
		return ok, own4xx
	}
	if ok, _ := send("/kyc/before", 0); ok < requests {
		return false, fmt.Errorf("only %d of %d requests served before the change", ok, requests)
	}
	d.store.Put(platform.ConfigKind, platform.ConfigName, limitsConfiguration(2, newHeaderBytes))
	d.rec.printf("the store has acknowledged version 2, with max_header_bytes %d", newHeaderBytes)
	time.Sleep(configApply + settled)
	if ok, _ := send("/added/route", 0); ok < perGateway*len(d.gateways) {
		return false, fmt.Errorf("version 2 is not in force: %d requests on its new route were served", ok)
	}
	d.rec.printf("version 2 is in force at all gateways: its new route is served")
	ok, denied := send("/kyc/after", sentHeaderBytes)
	allowed := deniedFloor + requests/deniedOneIn
	d.rec.printf("of %d requests that version 2 allows: %d served, %d ended by a 3xx or 4xx of a gateway; %d are tolerated", perGateway*len(d.gateways), ok, denied, allowed)
	return denied > allowed, nil
}
