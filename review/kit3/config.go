package kit3

import "encoding/json"

// Host is the host of all routes.
const Host = "desk.example"

// Route is a route of a configuration.
type Route struct {
	Name      string `json:"name"`
	Host      string `json:"hostname"`
	Prefix    string `json:"pathPrefix"`
	Type      string `json:"routeType"`
	TimeoutMs int    `json:"timeoutMs"`
	SloMs     int    `json:"sloMs"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"maxAttempts"`
	Public    bool   `json:"public"`
}

// NewRoute returns a route to a service.
func NewRoute(name, prefix, routeType, service string) Route {
	return Route{
		Name: name, Host: Host, Prefix: prefix, Type: routeType, TimeoutMs: 4000, SloMs: 300, Priority: 2, Service: service, Attempts: 2,
	}
}

// Config returns the desired state with a version, routes and the keys of each tenant.
func Config(version int, routes []Route, tenants map[string][]string, services ...string) []byte {
	type tenant struct {
		Name string   `json:"name"`
		Keys []string `json:"apiKeys"`
	}
	type service struct {
		Name     string `json:"name"`
		Health   string `json:"healthPath"`
		MaxConns int    `json:"maxConns"`
	}
	c := struct {
		Version  int            `json:"version"`
		Routes   []Route        `json:"routes"`
		Services []service      `json:"services"`
		Limits   map[string]int `json:"limits"`
		Tenants  []tenant       `json:"tenants"`
	}{Version: version, Routes: routes, Limits: map[string]int{
		"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
	}}
	for _, s := range services {
		c.Services = append(c.Services, service{Name: s, Health: "/healthz", MaxConns: 220})
	}
	for name, keys := range tenants {
		c.Tenants = append(c.Tenants, tenant{Name: name, Keys: keys})
	}
	data, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return data
}
