package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"agatepulley.example/agatepulley/bench/processes"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/standin/configservice"
)

const (
	// maxNodes keeps a fleet with its platform and backend servers within 110 processes.
	maxNodes = 104
	// backendHosts is the number of hosts with a backend server.
	backendHosts = 3
	startTimeout = 90 * time.Second
	// settleTime lets connections open and readers find their rank after the start.
	settleTime     = 8 * time.Second
	changes        = 5
	changeInterval = 3 * time.Second
	adoptedMessage = "configuration adopted"
)

// measureProcesses runs fleets of separate processes on loopback at several sizes.
func measureProcesses(ctx context.Context, o *options) error {
	dir, err := os.MkdirTemp("", "agatepulley-capacity-")
	if err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	defer os.RemoveAll(dir)
	binaries, err := processes.Build(ctx, dir)
	if err != nil {
		return err
	}
	results := map[string][]point{}
	for _, nodes := range o.Nodes {
		if nodes > maxNodes || nodes < backendHosts+1 {
			return fmt.Errorf("%d nodes are out of range; valid: %d to %d", nodes, backendHosts+1, maxNodes)
		}
		if err := measureFleet(ctx, o, binaries, nodes, results); err != nil {
			return fmt.Errorf("%d nodes: %w", nodes, err)
		}
	}
	// Only the memory grows with the fleet between 10 and 100 nodes; a line through the others would state a trend that
	// the measurement does not show.
	if len(o.Nodes) < 3 {
		return nil
	}
	return fitted(nameResident+" by nodes", results[nameResident], float64(fullScale.hosts), unitBytes, targetMemory)
}

// Names of the figures of a fleet.
const (
	nameBytes    = "bytes read and written per node and second at rest"
	nameWrites   = "write calls per node and second at rest"
	nameShare    = "processor time per node at rest"
	nameResident = "resident memory per node"
	nameReads    = "reads of the configuration service per second at rest"
	nameForce    = "publishing to in force on all nodes, longest of 5"
	nameChange   = "bytes read and written per node and change"
)

// fleetRun is a fleet under measurement.
type fleetRun struct {
	fleet *processes.Fleet
	hosts []string
	label string
	// results collects the figures by name.
	results map[string][]point
}

func measureFleet(ctx context.Context, o *options, binaries *processes.Binaries, nodes int, results map[string][]point) error {
	dir, err := os.MkdirTemp("", "agatepulley-fleet-")
	if err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	defer os.RemoveAll(dir)
	fleet, err := processes.NewFleet(binaries, dir, fleetDocument(nodes+1, o.Zones))
	if err != nil {
		return err
	}
	defer fleet.Close()
	hosts := fleet.Hosts()
	newcomer := hosts[nodes]
	r := &fleetRun{fleet: fleet, hosts: hosts[:nodes], label: fmt.Sprintf("%d nodes", nodes), results: results}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := fleet.Start(startCtx, r.hosts...); err != nil {
		return err
	}
	sleepFor(ctx, settleTime)
	if err := r.measureRest(ctx, o); err != nil {
		return err
	}
	if err := r.measureChanges(ctx); err != nil {
		return err
	}
	return r.measureNewcomer(ctx, newcomer)
}

// fleetDocument has one service on the first hosts and many routes, so that the document is not trivial.
func fleetDocument(hosts, zoneCount int) *config.Document {
	d := newDocument(scale{hosts: hosts, services: 1, endpoints: backendHosts, routes: 200})
	for i := range d.Hosts {
		d.Hosts[i].Zone = zoneName(i % zoneCount)
	}
	return d
}

func (r *fleetRun) report(name string, value float64, unit, target string) {
	figure(name+", "+r.label, value, unit, target)
	r.results[name] = append(r.results[name], point{float64(len(r.hosts)), value})
}

// usage is what the nodes have used since their start.
type usage struct {
	bytes, writes, processor float64
	service                  configservice.Counts
}

func (r *fleetRun) usage(ctx context.Context) (usage, error) {
	var u usage
	for _, host := range r.hosts {
		node := r.fleet.Nodes[host]
		cpu, err := node.CPUTime()
		if err != nil {
			return u, err
		}
		u.processor += cpu.Seconds()
		io, err := readFields(node.PID(), "io")
		if err != nil {
			return u, err
		}
		// The log is the only file that a node writes.
		u.bytes += io["rchar"] + io["wchar"] - float64(len(node.Log()))
		u.writes += io["syscw"]
	}
	counts, err := r.counts(ctx)
	u.service = counts
	return u, err
}

// readFields reads the numbers of a file of the process in /proc.
func readFields(pid int, file string) (map[string]float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return nil, fmt.Errorf("read usage of process: %w", err)
	}
	return parseFields(string(text)), nil
}

// parseFields returns the first number after each name and colon.
func parseFields(text string) map[string]float64 {
	fields := make(map[string]float64)
	for _, row := range strings.Split(text, "\n") {
		name, rest, ok := strings.Cut(row, ":")
		words := strings.Fields(rest)
		if !ok || len(words) == 0 {
			continue
		}
		if value, err := strconv.ParseFloat(words[0], 64); err == nil {
			fields[name] = value
		}
	}
	return fields
}

func (r *fleetRun) counts(ctx context.Context) (configservice.Counts, error) {
	var counts configservice.Counts
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.fleet.ConfigService.Address+"/admin/counts", nil)
	if err != nil {
		return counts, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return counts, fmt.Errorf("read counts of the configuration service: %w", err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&counts); err != nil {
		return counts, fmt.Errorf("decode counts of the configuration service: %w", err)
	}
	return counts, nil
}

// measureRest measures a fleet without requests and changes.
func (r *fleetRun) measureRest(ctx context.Context, o *options) error {
	before, err := r.usage(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	sleepFor(ctx, o.Window)
	after, err := r.usage(ctx)
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	perNode := seconds * float64(len(r.hosts))
	r.report(nameBytes, (after.bytes-before.bytes)/perNode, unitBytes, targetRate)
	r.report(nameWrites, (after.writes-before.writes)/perNode, unitCount, noTarget)
	r.report(nameShare, 100*(after.processor-before.processor)/perNode, unitCore, targetCore)
	reads := float64(after.service.Reads + after.service.Watches - before.service.Reads - before.service.Watches)
	r.report(nameReads, reads/seconds, unitCount, "2000")
	return r.measureMemory()
}

func (r *fleetRun) measureMemory() error {
	var resident []float64
	for _, host := range r.hosts {
		status, err := readFields(r.fleet.Nodes[host].PID(), "status")
		if err != nil {
			return err
		}
		resident = append(resident, status["VmRSS"]*1024)
	}
	median, least, most := spread(resident)
	r.report(nameResident, median, unitBytes, targetMemory)
	figure(nameResident+" least, "+r.label, least, unitBytes, noTarget)
	figure(nameResident+" most, "+r.label, most, unitBytes, noTarget)
	return nil
}

// measureChanges publishes versions and reads from the logs when each node put them in force.
func (r *fleetRun) measureChanges(ctx context.Context) error {
	before, err := r.usage(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	published := map[string]time.Time{}
	for range changes {
		document := r.fleet.Document()
		document.Version.Sequence++
		document.Routes[0].DeadlineMS++
		published[document.Version.String()] = time.Now()
		if err := r.fleet.Publish(ctx); err != nil {
			return err
		}
		sleepFor(ctx, changeInterval)
	}
	seconds := time.Since(start).Seconds()
	after, err := r.usage(ctx)
	if err != nil {
		return err
	}
	longest, missing := r.inForce(published)
	median, least, most := spread(longest)
	figure("publishing to in force on all nodes, median of 5, "+r.label, median, unitSeconds, "17")
	figure("publishing to in force on all nodes, least of 5, "+r.label, least, unitSeconds, noTarget)
	r.report(nameForce, most, unitSeconds, "17")
	figure("adoptions missing, "+r.label, float64(missing), unitCount, "0")
	nodes := float64(len(r.hosts))
	rest := r.latest(nameBytes) * seconds
	r.report(nameChange, ((after.bytes-before.bytes)/nodes-rest)/changes, unitBytes, noTarget)
	reads := float64(after.service.Reads + after.service.Watches - before.service.Reads - before.service.Watches)
	figure("reads of the configuration service per change above rest, "+r.label, (reads-r.latest(nameReads)*seconds)/changes, unitCount, noTarget)
	return nil
}

func (r *fleetRun) latest(name string) float64 {
	points := r.results[name]
	return points[len(points)-1].value
}

// adoption is a log line about an adopted version.
type adoption struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Version string    `json:"version"`
}

// inForce returns for each published version the time until the last node had adopted it or a later one, in seconds,
// and the number of nodes that did neither.
func (r *fleetRun) inForce(published map[string]time.Time) (longest []float64, missing int) {
	adopted := make([][]adoption, 0, len(r.hosts))
	for _, host := range r.hosts {
		adopted = append(adopted, adoptions(r.fleet.Nodes[host].Log()))
	}
	for version, at := range published {
		last := time.Duration(0)
		for _, list := range adopted {
			took, ok := timeToAdopt(list, version, at)
			if !ok {
				missing++
			}
			last = max(last, took)
		}
		longest = append(longest, last.Seconds())
	}
	return longest, missing
}

// timeToAdopt returns the time from publishing a version to the first later adoption of it or of one that follows it in
// the log.
func timeToAdopt(list []adoption, version string, at time.Time) (time.Duration, bool) {
	for _, a := range list {
		if a.Version == version || later(a.Version, version) {
			return a.Time.Sub(at), true
		}
	}
	return 0, false
}

// later compares versions of one epoch in the form EPOCH.SEQUENCE.
func later(a, b string) bool {
	return sequenceOf(a) > sequenceOf(b)
}

func sequenceOf(version string) int {
	_, text, _ := strings.Cut(version, ".")
	sequence, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}
	return sequence
}

func adoptions(log string) []adoption {
	var list []adoption
	for _, row := range strings.Split(log, "\n") {
		if !strings.Contains(row, adoptedMessage) {
			continue
		}
		var a adoption
		if json.Unmarshal([]byte(row), &a) == nil && a.Message == adoptedMessage {
			list = append(list, a)
		}
	}
	return list
}

// measureNewcomer measures the time from the start of a process to its readiness.
func (r *fleetRun) measureNewcomer(ctx context.Context, host string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	start := time.Now()
	if err := r.fleet.StartNode(host); err != nil {
		return err
	}
	if err := r.fleet.AwaitReady(ctx, host); err != nil {
		return err
	}
	figure("start of a newcomer to ready, "+r.label, time.Since(start).Seconds(), unitSeconds, noTarget)
	return nil
}

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
