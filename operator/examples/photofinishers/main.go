// Command photofinishers prints the configuration document of a photo finisher with three availability zones. Its
// argument, if any, is the file of the document published last.
package main

import (
	"fmt"
	"os"
	"time"

	"agatepulley.example/agatepulley/operator"
	"agatepulley.example/agatepulley/pkg/config"
)

const (
	zones           = 3
	orderHosts      = 15
	scanHosts       = 6
	slotsPerBackend = 3
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "photofinishers:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var previous *config.Document
	if len(args) > 0 {
		var err error
		if previous, err = operator.ReadFile(args[0]); err != nil {
			return err
		}
	}
	document, err := build(previous)
	if err != nil {
		return err
	}
	return operator.Write(os.Stdout, document)
}

func build(previous *config.Document) (*config.Document, error) {
	fleet := operator.New(previous)
	orders := addHosts(fleet, "order", "10.20.1", orderHosts)
	scans := addHosts(fleet, "scan", "10.20.2", scanHosts)
	fleet.Service("order-desk").Floor(70).ClaimWindow(2*time.Minute).EndpointOnEach("desk", slotsPerBackend, orders...)
	fleet.Service("scan-room").Floor(60).EndpointOnEach("room", slotsPerBackend, scans...)

	fleet.Route("envelope-status", "/envelopes").To("order-desk").Methods("GET", "HEAD").Repeatable().
		Deadline(5 * time.Second).Short()
	fleet.Route("developing-charge", "/charges").To("order-desk").Methods("POST").NonRepeatable().RequireKey().
		Deadline(10 * time.Second)
	fleet.Route("paper-stock", "/paper-stock").To("order-desk").Methods("GET").Repeatable().Deadline(3 * time.Second).Short()
	fleet.Route("scan-download", "/scans").To("scan-room").Methods("GET").Repeatable().Deadline(10 * time.Minute).Long()
	fleet.Route("print-dispatch", "/dispatches").To("scan-room").Methods("POST").NonRepeatable().RequireKey().
		Deadline(15 * time.Second)

	fleet.Workspace("counter").MaxInFlight(200)
	fleet.Workspace("web-shop").MaxInFlight(400)
	return fleet.Build()
}

// addHosts spreads hosts over the zones and returns their ids.
func addHosts(fleet *operator.Fleet, prefix, network string, count int) []string {
	var ids []string
	for i := range count {
		id := fmt.Sprintf("%s-%02d", prefix, i+1)
		zone := fmt.Sprintf("jamaica-south-%d", i%zones+1)
		fleet.Host(id, fmt.Sprintf("%s.%d", network, i+1)).Zone(zone).Region("jamaica-south")
		ids = append(ids, id)
	}
	return ids
}
