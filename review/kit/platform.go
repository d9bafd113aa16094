package kit

import "time"

// Names of the routes, services and the key of the stand-in deployment.
const (
	Host         = "desk.example"
	BookingPath  = "/booking/"
	LookupPath   = "/lookup/"
	StreamPath   = "/draft/"
	PlainService = "order-book"
	ModelService = "text-desk"
	Key          = "n2ctnfzs989anu6wsjnb"
	Tenant       = "weaver"
	// IdleTimeout is the time for which a caller may keep an idle channel.
	IdleTimeout = 15 * time.Second
)

// Config returns a desired state like that of a small deployment, as the operator writes it.
func Config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			Route(BookingPath, "non_idempotent", PlainService, 2000, 1),
			Route(LookupPath, "idempotent", PlainService, 2000, 2),
			Route(StreamPath, "streaming", ModelService, 8000, 2),
		},
		"services": []map[string]any{
			{"name": PlainService, "healthPath": "/healthz", "maxConns": 220, "protocol": "h1", "tls": false},
			{"name": ModelService, "healthPath": "/healthz", "maxConns": 836, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
			"idleTimeoutMs": IdleTimeout.Milliseconds(),
		},
		"tenants": []map[string]any{{"name": Tenant, "apiKeys": []string{Key}, "priority": 1}},
	}
}

// Route returns a route as the operator writes it.
func Route(path, kind, service string, timeoutMs, attempts int) map[string]any {
	r := map[string]any{
		"name": "r-" + path[1:len(path)-1], "hostname": Host, "pathPrefix": path, "routeType": kind,
		"timeoutMs": timeoutMs, "sloMs": 300, "priority": 1, "service": service, "maxAttempts": attempts, "public": false,
	}
	if kind == "streaming" {
		r["sloMs"], r["sticky"], r["resumable"], r["targetGapMs"] = 400, true, true, 120
	}
	return r
}

// Publish writes a desired state to the store.
func (c *Case) Publish(config map[string]any) {
	c.Store.PutJSON("keyed.op", "config", config)
	c.Logf("published desired state %v", config["version"])
}

// Register writes the entry of a replica to the store.
func (c *Case) Register(id, service, address, state string, slots int, born time.Time) {
	c.Store.PutJSON("keyed.servers", id, map[string]any{
		"service": service, "address": address, "zone": "zone-a", "version": "v1", "slots": slots, "state": state,
		"coldRemainingMs": 0, "sequence": 1, "born": born.UnixMilli(),
	})
	c.Logf("registered replica %s of %s as %s", id, service, state)
}
