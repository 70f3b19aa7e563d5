package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"agatepulley.example/agatepulley/pkg/admin"
)

const (
	requestTimeout = 10 * time.Second
	// maxResponseBytes bounds the body of an admin response. It leaves room for the status of a node in a fleet of the
	// largest size that the design supports.
	maxResponseBytes = 256 << 20
)

const statusHelp = `Shows the configuration in force on a node, the open alarms, the configuration version on each host ` +
	`that the node knows, the endpoints in the node's view with their states and the reasons, the endpoints that it ` +
	`owns, the requests that may crash endpoints, and the leaving hosts.`

const explainHelp = `Shows the decisions that a node recorded for a request: candidates, choice, outcome and the rule ` +
	`that decided. A node keeps the decisions of its latest 8192 requests. The request id is in the response header ` +
	`Agatepulley-Request-Id.`

type statusCommand struct {
	env        *environment
	JSON       bool `long:"json" description:"print the status as JSON"`
	Positional struct {
		Node string `positional-arg-name:"NODE" description:"admin address of the node (IP:PORT)"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	var status admin.Status
	raw, err := fetch(c.env.ctx, c.Positional.Node, "/status", &status)
	if err != nil {
		return err
	}
	if c.JSON {
		return write(c.env.stdout, raw)
	}
	return writeStatus(c.env.stdout, &status)
}

type explainCommand struct {
	env        *environment
	JSON       bool `long:"json" description:"print the decisions as JSON"`
	Positional struct {
		Node      string `positional-arg-name:"NODE" description:"admin address of the node (IP:PORT)"`
		RequestID string `positional-arg-name:"REQUEST-ID" description:"id of the request"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	var explanation admin.Explanation
	path := "/explain/" + url.PathEscape(c.Positional.RequestID)
	raw, err := fetch(c.env.ctx, c.Positional.Node, path, &explanation)
	if err != nil {
		return err
	}
	if c.JSON {
		return write(c.env.stdout, raw)
	}
	return writeExplanation(c.env.stdout, &explanation)
}

const liftHelp = `Lets the requests with a fingerprint run again, on all nodes, after they were refused because they have crashed ` +
	`endpoints. The command status lists the fingerprints. If such a request crashes two endpoints again, it is refused again.`

type liftCommand struct {
	env        *environment
	Positional struct {
		Node        string `positional-arg-name:"NODE" description:"admin address of the node (IP:PORT)"`
		Fingerprint string `positional-arg-name:"FINGERPRINT" description:"fingerprint as the status shows it"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *liftCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	path := admin.LiftPath + url.PathEscape(c.Positional.Fingerprint)
	var lifted admin.Lifted
	if _, err := call(c.env.ctx, http.MethodPost, c.Positional.Node, path, &lifted); err != nil {
		return err
	}
	return write(c.env.stdout, []byte("lifted "+lifted.Fingerprint+"\n"))
}

// fetch requests a path of a node's admin server, decodes the JSON response into value and returns the response body.
func fetch(ctx context.Context, node, path string, value any) ([]byte, error) {
	return call(ctx, http.MethodGet, node, path, value)
}

// call sends a request without a body to a node's admin server, decodes the JSON response into value and returns its body.
func call(ctx context.Context, method, node, path string, value any) ([]byte, error) {
	if _, err := netip.ParseAddrPort(node); err != nil {
		return nil, &UsageError{Err: fmt.Errorf("node %q: want IP:PORT", node)}
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, nil)
	if err != nil {
		return nil, fmt.Errorf("create request to %s: %w", node, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read %s from %s: %w", path, node, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("read %s from %s: %w", path, node, err)
	}
	if response.StatusCode == http.StatusNotFound {
		return nil, fmt.Errorf("%s has nothing at %s: not recorded there, or no longer kept", node, path)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read %s from %s: status %d: %s", path, node, response.StatusCode, strings.TrimSpace(string(body)))
	}
	if err := json.Unmarshal(body, value); err != nil {
		return nil, fmt.Errorf("decode %s from %s: %w", path, node, err)
	}
	return body, nil
}

func write(w io.Writer, text []byte) error {
	if _, err := w.Write(text); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

func writeStatus(w io.Writer, s *admin.Status) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeNode(table, s)
	if len(s.Configuration.Alarms) > 0 {
		fmt.Fprintln(table, "\nALARM\tSINCE\tTEXT")
	}
	for _, alarm := range s.Configuration.Alarms {
		fmt.Fprintf(table, "%s\t%s\t%s\n", alarm.Name, alarm.Since.Format(time.RFC3339), alarm.Text)
	}
	fmt.Fprintln(table, "\nHOST\tZONE\tVERSION\tHEARD\tSTATE")
	for i := range s.Hosts {
		writeHost(table, &s.Hosts[i])
	}
	fmt.Fprintln(table, "\nSERVICE\tENDPOINT\tHOST\tZONE\tSTATE\tPROTECTED\tIN FLIGHT\tSLOTS\tLOAD\tLIMIT\tREASON")
	for _, service := range s.Services {
		for _, e := range service.Endpoints {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%t\t%d\t%d\t%.2f\t%s\t%s\n", service.Name, e.ID, e.Host, e.Zone, e.State,
				e.Protected, e.InFlight, e.Slots, e.Load, limitText(e.Limit), e.Reason)
		}
	}
	fmt.Fprintln(table, "\nOWNED\tSERVICE\tADDRESS\tSTATE\tBUSY\tQUEUED\tSLOTS")
	for _, o := range s.Owned {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\n", o.ID, o.Service, o.Address, o.State, o.Busy, o.Queued, o.Slots)
	}
	if len(s.Suspects) > 0 {
		fmt.Fprintln(table, "\nSUSPECT REQUESTS\tSERVICE\tACTION\tCRASHED")
	}
	for _, suspect := range s.Suspects {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", suspect.Fingerprint, suspect.Service, suspect.Action, strings.Join(suspect.Crashed, ", "))
	}
	if len(s.Leaving) > 0 {
		fmt.Fprintln(table, "\nLEAVING\tSOURCE\tSINCE")
	}
	for _, l := range s.Leaving {
		fmt.Fprintf(table, "%s\t%s\t%s\n", l.Host, l.Source, l.Since.Format(time.RFC3339))
	}
	return flush(table)
}

func writeNode(w io.Writer, s *admin.Status) {
	c := s.Configuration
	fmt.Fprintf(w, "host\t%s\tzone %s\n", s.Node.Host, s.Node.Zone)
	fmt.Fprintf(w, "state\t%s\t%d requests in flight, started %s\n", s.Node.State, s.Node.InFlight, s.Node.StartedAt.Format(time.RFC3339))
	fmt.Fprintf(w, "configuration\t%s\tfrom %s, in force for %s, digest %s\n", versionText(c.Version), c.Source, secondsText(c.AgeSeconds), c.Digest)
	fmt.Fprintf(w, "latest read\t%s\n", secondsText(c.ReadAgeSeconds))
}

func writeHost(w io.Writer, h *admin.HostStatus) {
	version := "unknown"
	if h.Version != nil {
		version = versionText(*h.Version)
	}
	state := "serving"
	if h.Leaving {
		state = "leaving"
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", h.Host, h.Zone, version, secondsText(h.SecondsSinceContact), state)
}

// limitText formats a limit on the rate of requests, or its absence.
func limitText(limit *float64) string {
	if limit == nil {
		return "-"
	}
	return fmt.Sprintf("%g/s", *limit)
}

// secondsText formats an age. A negative age means that the event never happened.
func secondsText(seconds float64) string {
	if seconds < 0 {
		return "never"
	}
	return time.Duration(seconds * float64(time.Second)).Round(time.Millisecond).String()
}

func writeExplanation(w io.Writer, e *admin.Explanation) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "request %s\n\nTIME\tSTEP\tTAKEN\tPEER\tOUTCOME\tREASON\tCANDIDATES\n", e.RequestID)
	for i := range e.Decisions {
		d := &e.Decisions[i]
		var candidates []string
		for _, c := range d.Candidates {
			candidates = append(candidates, fmt.Sprintf("%s (%s, %.2f)", c.Endpoint, c.State, c.Load))
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", d.Time.Format("15:04:05.000000"), d.Step, d.Subject, d.Peer, d.Outcome,
			d.Reason, strings.Join(candidates, ", "))
	}
	return flush(table)
}

func flush(table *tabwriter.Writer) error {
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}
