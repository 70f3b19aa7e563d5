package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"agatepulley.example/agatepulley/bench/processes"
	"agatepulley.example/agatepulley/core/membership"
	"agatepulley.example/agatepulley/pkg/config"
)

const (
	nodeChanges    = 3
	nodeChangeWait = 6 * time.Second
	pollPeriod     = 50 * time.Millisecond
)

// nodeEighths are the sizes of the documents in eighths of the full size.
var nodeEighths = []int{1, 2, 4, 5, 6, 8}

// measureNode runs one node process as a configuration reader with documents up to the full size. The other hosts of the
// document have loopback addresses at which nothing listens.
func measureNode(ctx context.Context, o *options) error {
	dir, err := os.MkdirTemp("", "agatepulley-node-")
	if err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	defer os.RemoveAll(dir)
	binaries, err := processes.Build(ctx, dir)
	if err != nil {
		return err
	}
	var joins, residents, peaks, shares, costs []point
	for _, eighths := range nodeEighths {
		s := fullScale.times(eighths, 8)
		r, err := runNode(ctx, o, binaries, dir, s)
		if err != nil {
			return fmt.Errorf("node at %d/8: %w", eighths, err)
		}
		size := float64(s.endpoints)
		joins = append(joins, point{size, r.join})
		residents = append(residents, point{size, r.resident})
		peaks = append(peaks, point{size, r.peak})
		shares = append(shares, point{size, r.share})
		costs = append(costs, point{size, r.change})
	}
	full := float64(fullScale.endpoints)
	for _, f := range []struct {
		name, unit, target string
		points             []point
	}{
		{"time of a node to join", unitSeconds, noTarget, joins},
		{"resident memory of a node after joining", unitBytes, targetMemory, residents},
		{"highest resident memory of a reader after 3 changes", unitBytes, targetMemory, peaks},
		{"processor time of a node at rest", unitCore, targetCore, shares},
		{"processor time of a reader per change, whole process", unitMillis, noTarget, costs},
	} {
		if err := fitted(f.name, f.points, full, f.unit, f.target); err != nil {
			return err
		}
	}
	return nil
}

// nodeResult is what one node used: seconds, bytes, percent of a core and milliseconds.
type nodeResult struct {
	join, resident, peak, share, change float64
}

// nodeRun is a node with its configuration service.
type nodeRun struct {
	document *config.Document
	service  string
	admin    string
	process  *processes.Process
}

func runNode(ctx context.Context, o *options, binaries *processes.Binaries, dir string, s scale) (nodeResult, error) {
	var result nodeResult
	ctx, cancel := context.WithTimeout(ctx, 5*time.Minute)
	defer cancel()
	group := processes.NewGroup(dir)
	defer group.Close()
	r := &nodeRun{document: newDocument(s)}
	host, err := r.place()
	if err != nil {
		return result, err
	}
	if err := r.startService(ctx, group, binaries); err != nil {
		return result, err
	}
	start := time.Now()
	if err := r.startNode(ctx, group, binaries, host); err != nil {
		return result, err
	}
	result.join = time.Since(start).Seconds()
	sleepFor(ctx, settleTime)
	if result.share, err = r.share(ctx, o.Window); err != nil {
		return result, err
	}
	status, err := readFields(r.process.PID(), "status")
	if err != nil {
		return result, err
	}
	result.resident = status["VmRSS"] * 1024
	if result.change, err = r.changes(ctx, result.share); err != nil {
		return result, err
	}
	if status, err = readFields(r.process.PID(), "status"); err != nil {
		return result, err
	}
	result.peak = status["VmHWM"] * 1024
	return result, nil
}

// place gives the hosts loopback addresses and returns the host of the first zone that reads the configuration service.
func (r *nodeRun) place() (*config.Host, error) {
	var zone []string
	for i := range r.document.Hosts {
		host := &r.document.Hosts[i]
		host.Address = fmt.Sprintf("127.1.%d.%d", i>>8, i&255)
		if host.Zone == zoneName(0) {
			zone = append(zone, host.ID)
		}
	}
	reader := membership.Rank("config-reader/"+zoneName(0), zone)[0]
	for i := range r.document.Hosts {
		host := &r.document.Hosts[i]
		if host.ID != reader {
			continue
		}
		ports, err := processes.FreePorts(3)
		if err != nil {
			return nil, err
		}
		host.Address = processes.Loopback
		host.IngressPort, host.HopPort, host.PeerPort = ports[0], ports[1], ports[2]
		return host, nil
	}
	return nil, fmt.Errorf("host %s is not in the document", reader)
}

func (r *nodeRun) startService(ctx context.Context, group *processes.Group, binaries *processes.Binaries) error {
	ports, err := processes.FreePorts(1)
	if err != nil {
		return err
	}
	r.service = processes.Address(ports[0])
	_, err = group.Start(fmt.Sprintf("service-%d", ports[0]), binaries.Path(processes.ConfigService), "--listen", r.service)
	if err != nil {
		return err
	}
	return r.publish(ctx)
}

// publish writes the document in pieces. It repeats the first write until the service listens.
func (r *nodeRun) publish(ctx context.Context) error {
	values, err := config.Values(r.document)
	if err != nil {
		return err
	}
	for _, value := range values {
		for {
			err := put(ctx, r.service, value)
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				return err
			}
			sleepFor(ctx, pollPeriod)
		}
	}
	return nil
}

func put(ctx context.Context, service string, value config.Value) error {
	url := "http://" + service + "/admin/values/" + value.Key
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(value.Data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("publish %s: %w", value.Key, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("publish %s: status %d", value.Key, response.StatusCode)
	}
	return nil
}

func (r *nodeRun) startNode(ctx context.Context, group *processes.Group, binaries *processes.Binaries, host *config.Host) error {
	ports, err := processes.FreePorts(1)
	if err != nil {
		return err
	}
	r.admin = processes.Address(ports[0])
	r.process, err = group.Start("node-"+r.admin, binaries.Path(processes.Node),
		"--host-id", host.ID, "--zone", host.Zone, "--listen", host.IngressAddress(), "--hop-listen", host.HopAddress(),
		"--peer-listen", host.PeerAddress(), "--admin-listen", r.admin, "--config-service", r.service)
	if err != nil {
		return err
	}
	for {
		response, err := http.Get("http://" + r.admin + "/ready")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if ctx.Err() != nil || !r.process.Running() {
			return fmt.Errorf("node is not ready:\n%s", r.process.Log())
		}
		sleepFor(ctx, pollPeriod)
	}
}

// share returns the processor time of the node as a share of a core, in percent.
func (r *nodeRun) share(ctx context.Context, window time.Duration) (float64, error) {
	before, err := r.process.CPUTime()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	sleepFor(ctx, window)
	after, err := r.process.CPUTime()
	return 100 * float64(after-before) / float64(time.Since(start)), err
}

// changes publishes changes of one endpoint each and returns the processor time per change above that at rest, in
// milliseconds.
func (r *nodeRun) changes(ctx context.Context, rest float64) (float64, error) {
	before, err := r.process.CPUTime()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	for i := range nodeChanges {
		drained(r.document, []int{i}, r.document.Version.Sequence+1)
		if err := r.publish(ctx); err != nil {
			return 0, err
		}
		sleepFor(ctx, nodeChangeWait)
	}
	after, err := r.process.CPUTime()
	if err != nil {
		return 0, err
	}
	if adopted := strings.Count(r.process.Log(), adoptedMessage); adopted != nodeChanges+1 {
		return 0, fmt.Errorf("%d adoptions instead of %d", adopted, nodeChanges+1)
	}
	atRest := time.Duration(rest / 100 * float64(time.Since(start)))
	return float64(after-before-atRest) / float64(time.Millisecond) / nodeChanges, nil
}
