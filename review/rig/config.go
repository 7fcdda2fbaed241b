package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// operator writes the versions of the configuration.
type operator struct {
	store   *store
	lock    sync.Mutex
	version int
	// more is the number of routes by which the configuration has grown.
	more int
	// service is where the route /lot/ goes.
	service string
	// services are the names of all services.
	services []string
}

// growth is the number of routes that one big_config adds.
const growth = 350

// write writes the next version and returns its number and when the store confirmed it.
func (o *operator) write() (version int, confirmed time.Time) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.version++
	routes := []string{fmt.Sprintf(`{"name":"r-lot","host":"pupu76.example","path_prefix":"/lot/","route_type":"safe","timeout_ms":4000,"target_latency_ms":400,"priority":2,"service":%q,"max_attempts":2}`, o.service)}
	for n := range o.more {
		timeout := 4000
		if n == 0 {
			timeout += o.version // what this version changes
		}
		routes = append(routes, fmt.Sprintf(`{"name":"r-%dk%d","host":"pupu%d.example","path_prefix":"/more%d/","route_type":"safe","timeout_ms":%d,"target_latency_ms":600,"priority":2,"service":%q,"max_attempts":2}`,
			n, n*7919%1000, n%8, n, timeout, o.services[0]))
	}
	var services []string
	for _, name := range o.services {
		services = append(services, fmt.Sprintf(`{"name":%q,"health_path":"/health","max_connections":96,"protocol":"h1","tls_enabled":false,"warmup_s":3.0,"cold_per_s":0.0}`, name))
	}
	value := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		o.version, strings.Join(routes, ","), strings.Join(services, ","))
	if len(value) > 1<<20 {
		fatal(fmt.Errorf("configuration of %d bytes, max_value_bytes is %d", len(value), 1<<20))
	}
	confirmed = o.store.put("op/config", value)
	record("operator version %d confirmed: %d routes, %d bytes, /lot/ goes to %s", o.version, len(routes), len(value), o.service)
	return o.version, confirmed
}

// storm writes versions in quick succession.
func (o *operator) storm(length, gap time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(gap) {
		o.write()
	}
}
