// Command textiles prints the configuration document of a municipal laundry directorate with four availability zones.
// Its argument, if any, is the file of the document published last. It shows a planned host replacement: one host
// drains.
package main

import (
	"fmt"
	"os"
	"time"

	"agatepulley.example/agatepulley/operator"
	"agatepulley.example/agatepulley/pkg/config"
)

const (
	zones           = 4
	portalHosts     = 23
	hallHosts       = 8
	slotsPerBackend = 5
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "textiles:", err)
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
	portal := addHosts(fleet, "portal", "10.30.1", portalHosts)
	halls := addHosts(fleet, "hall", "10.30.2", hallHosts)

	// Under overload the floor of the portal keeps enough slots in place even if many endpoints look unhealthy.
	fleet.Service("portal").Floor(80).ClaimWindow(5*time.Minute).EndpointOnEach("web", slotsPerBackend, portal...).
		Admission(config.AdmissionSettings{QueuePerSlot: 4, LongReserve: 1})
	fleet.Service("hall-operations").Floor(75).ClaimWindow(10*time.Minute).EndpointOnEach("ops", slotsPerBackend, halls...)

	fleet.Route("status", "/status").To("portal").Methods("GET", "HEAD").Repeatable().Deadline(5 * time.Second).Short()
	fleet.Route("collection-date", "/collection-dates").To("portal").Methods("GET").Repeatable().Deadline(5 * time.Second)
	fleet.Route("booking", "/bookings").To("portal").Methods("POST").NonRepeatable().RequireKey().Deadline(10 * time.Second)
	fleet.Route("fee", "/fees").To("portal").Methods("POST").NonRepeatable().RequireKey().Deadline(10 * time.Second)
	fleet.Route("care-sheet", "/care-sheets").To("portal").Methods("GET").Repeatable().Deadline(5 * time.Minute).Long()
	fleet.Route("photograph", "/photographs").To("portal").Methods("GET").Repeatable().Deadline(10 * time.Minute).Long()
	fleet.Route("handover", "/handovers").To("hall-operations").Methods("POST").NonRepeatable().RequireKey().
		Deadline(15 * time.Second)
	fleet.Route("dye-safety", "/dye-safety").To("hall-operations").Methods("GET").Repeatable().
		Deadline(3 * time.Second).Short()

	fleet.Workspace("residents").MaxInFlight(800)
	fleet.Workspace("prayer-halls").MaxInFlight(300)
	fleet.DrainHost("portal-23")
	return fleet.Build()
}

// addHosts spreads hosts over the zones and returns their ids.
func addHosts(fleet *operator.Fleet, prefix, network string, count int) []string {
	var ids []string
	for i := range count {
		id := fmt.Sprintf("%s-%02d", prefix, i+1)
		zone := fmt.Sprintf("almaty-%d", i%zones+1)
		fleet.Host(id, fmt.Sprintf("%s.%d", network, i+1)).Zone(zone).Region("almaty")
		ids = append(ids, id)
	}
	return ids
}
