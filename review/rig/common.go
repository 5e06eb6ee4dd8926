package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	host        = "shop.example"
	servicePath = "/orders/"
	serviceName = "weave-orders"
)

// configuration returns a configuration with one route, to serviceName.
func configuration(version int) string {
	return fmt.Sprintf(`{"version":"r%d","services":[{"name":%q,"healthPath":"/health","connectionLimit":220,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":3.7}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},`+
		`"hosts":[{"host":%q,"paths":[{"name":"orders","pathPrefix":%q,"kind":"safe","timeoutS":2,"latencyGoalS":0.4,"priority":1,"service":%q,"attempts":2}]}]}`,
		version, serviceName, host, servicePath, serviceName)
}

// begin starts the deployment with its first configuration.
func (d *deployment) begin() error {
	if err := d.startAll(); err != nil {
		return err
	}
	if err := d.order(http.MethodPost, "/v1/configuration/replace", configuration(7), 15*time.Second); err != nil {
		return err
	}
	return d.awaitReady(15 * time.Second)
}
