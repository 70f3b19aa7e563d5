package ctl

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"agatepulley.example/agatepulley/core/account"
)

const reportHelp = `Reads the decision lines of nodes (JSON logs) and shows how many requests of each route were answered within ` +
	`their target latency, and why the others were not. FILE is the log of one or more nodes; - is standard input. The logs ` +
	`must hold the decisions of the nodes that accepted the requests from their callers. The counts of all causes add up to ` +
	`the number of requests.`

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// standardInput is the argument that stands for standard input.
const standardInput = "-"

type reportCommand struct {
	env        *environment
	stdin      io.Reader
	JSON       bool          `long:"json" description:"print the report as JSON"`
	Requests   bool          `long:"requests" description:"with --json, include each request that was not answered in time"`
	Window     time.Duration `long:"window" default:"2s" description:"length of the time windows of the second table"`
	Positional struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"log file, or - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *reportCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if c.Window <= 0 {
		return &UsageError{Err: fmt.Errorf("window %s: must be positive", c.Window)}
	}
	a := account.New()
	for _, name := range c.Positional.Files {
		if err := c.readFile(a, name); err != nil {
			return err
		}
	}
	losses := a.Losses()
	if len(losses) == 0 {
		return errors.New("the logs hold no decision on a request: are they the JSON logs of nodes, at level info?")
	}
	summary := summarize(losses, c.Window, c.Requests)
	if c.JSON {
		return json.NewEncoder(c.env.stdout).Encode(summary)
	}
	return writeReport(c.env.stdout, summary)
}

func (c *reportCommand) readFile(a *account.Account, name string) error {
	if name == standardInput {
		return readLog(a, "standard input", c.stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer file.Close()
	return readLog(a, name, file)
}

// logLine is a line of a node's log.
type logLine struct {
	Time      time.Time       `json:"time"`
	Message   string          `json:"msg"`
	RequestID string          `json:"request_id"`
	Step      string          `json:"step"`
	Service   string          `json:"service"`
	Route     string          `json:"route"`
	Taken     string          `json:"taken"`
	Peer      string          `json:"peer"`
	Outcome   string          `json:"outcome"`
	Reason    string          `json:"reason"`
	Inputs    json.RawMessage `json:"inputs"`
}

// readLog adds the decisions in a log to the account.
func readLog(a *account.Account, name string, r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	number := 0
	for lines.Scan() {
		number++
		var line logLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return fmt.Errorf("%s, line %d: not a JSON log line: %w", name, number, err)
		}
		if line.Message != "decision" || line.RequestID == "" || line.byDispatcher() {
			continue
		}
		event, err := line.event()
		if err != nil {
			return fmt.Errorf("%s, line %d: %w", name, number, err)
		}
		a.Add(event)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s, after line %d: %w", name, number, err)
	}
	return nil
}

// byDispatcher reports whether a line comes from the node beside the endpoint. The node that accepted a request logs the time
// since its arrival with each end that has one of these steps.
func (l *logLine) byDispatcher() bool {
	if l.Step != "dispatch" && l.Step != "admit" && l.Step != "body" {
		return false
	}
	var end struct {
		Milliseconds *int `json:"ms"`
	}
	return len(l.Inputs) == 0 || json.Unmarshal(l.Inputs, &end) != nil || end.Milliseconds == nil
}

func (l *logLine) event() (account.Event, error) {
	e := account.Event{
		Time: l.Time, RequestID: l.RequestID, Step: l.Step, Service: l.Service, Route: l.Route, Subject: l.Taken, Peer: l.Peer,
		Outcome: l.Outcome, Reason: l.Reason,
	}
	if l.Time.IsZero() || l.Step == "" {
		return e, fmt.Errorf("decision on request %s lacks its time or its step", l.RequestID)
	}
	if len(l.Inputs) > 0 {
		if err := json.Unmarshal(l.Inputs, &e.Inputs); err != nil {
			return e, fmt.Errorf("inputs of the decision on request %s: %w", l.RequestID, err)
		}
	}
	return e, nil
}

// lossReport is the output of the command.
type lossReport struct {
	Requests int             `json:"requests"`
	Routes   []string        `json:"routes"`
	Causes   []causeRow      `json:"causes"`
	Windows  []windowRow     `json:"windows"`
	Losses   []requestRecord `json:"losses,omitempty"`
}

// causeRow counts the requests with one cause.
type causeRow struct {
	Cause    account.Cause  `json:"cause"`
	Requests int            `json:"requests"`
	ByRoute  map[string]int `json:"by_route"`
	// RetryDenied counts those for which the retry budget allowed no further attempt.
	RetryDenied int `json:"retry_denied"`
	// MeanMS is the mean time from arrival to the end, in milliseconds.
	MeanMS int `json:"mean_ms"`
}

// windowRow counts the requests that arrived in a time window, by cause.
type windowRow struct {
	From     time.Time             `json:"from"`
	Requests int                   `json:"requests"`
	ByCause  map[account.Cause]int `json:"by_cause"`
}

// requestRecord is a request that was not answered in time.
type requestRecord struct {
	RequestID string        `json:"request_id"`
	Route     string        `json:"route"`
	At        time.Time     `json:"at"`
	MS        int64         `json:"ms"`
	Cause     account.Cause `json:"cause"`
}

func summarize(losses []account.Loss, window time.Duration, list bool) *lossReport {
	s := &lossReport{Requests: len(losses)}
	rows := make(map[account.Cause]*causeRow)
	took := make(map[account.Cause]time.Duration)
	routes := make(map[string]bool)
	begin := losses[0].At
	for _, l := range losses {
		routes[l.Route] = true
		row := rows[l.Cause]
		if row == nil {
			row = &causeRow{Cause: l.Cause, ByRoute: make(map[string]int)}
			rows[l.Cause] = row
		}
		row.Requests++
		row.ByRoute[l.Route]++
		if l.RetryDenied {
			row.RetryDenied++
		}
		took[l.Cause] += l.Took
		s.count(l, begin.Add(l.At.Sub(begin).Truncate(window)))
		if list && l.Cause != account.InTime {
			s.Losses = append(s.Losses, requestRecord{RequestID: l.RequestID, Route: l.Route, At: l.At, MS: l.Took.Milliseconds(), Cause: l.Cause})
		}
	}
	s.Routes = slices.Sorted(maps.Keys(routes))
	for _, cause := range account.Causes {
		if row := rows[cause]; row != nil {
			row.MeanMS = int(took[cause].Milliseconds()) / row.Requests
			s.Causes = append(s.Causes, *row)
		}
	}
	return s
}

// count adds a request to the window that begins at the given time. Requests come in the order of their arrival.
func (s *lossReport) count(l account.Loss, from time.Time) {
	if n := len(s.Windows); n == 0 || !s.Windows[n-1].From.Equal(from) {
		s.Windows = append(s.Windows, windowRow{From: from, ByCause: make(map[account.Cause]int)})
	}
	row := &s.Windows[len(s.Windows)-1]
	row.Requests++
	row.ByCause[l.Cause]++
}

// routeName returns the heading of a route's column. Requests that were refused before their route was found have none.
func routeName(route string) string {
	if route == "" {
		return "(none)"
	}
	return route
}

func writeReport(w io.Writer, s *lossReport) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "CAUSE\tREQUESTS\tSHARE\tMEAN MS\tRETRY DENIED\t")
	for _, route := range s.Routes {
		fmt.Fprintf(t, "%s\t", routeName(route))
	}
	fmt.Fprintln(t)
	for _, row := range s.Causes {
		fmt.Fprintf(t, "%s\t%d\t%.4f\t%d\t%d\t", row.Cause, row.Requests, float64(row.Requests)/float64(s.Requests), row.MeanMS, row.RetryDenied)
		for _, route := range s.Routes {
			fmt.Fprintf(t, "%d\t", row.ByRoute[route])
		}
		fmt.Fprintln(t)
	}
	fmt.Fprintf(t, "total\t%d\t\t\t\t\n\n", s.Requests)
	fmt.Fprint(t, "SECOND\tREQUESTS\t")
	for _, row := range s.Causes {
		fmt.Fprintf(t, "%s\t", row.Cause)
	}
	fmt.Fprintln(t)
	for _, row := range s.Windows {
		fmt.Fprintf(t, "%s\t%d\t", strconv.FormatFloat(row.From.Sub(s.Windows[0].From).Seconds(), 'f', -1, 64), row.Requests)
		for _, cause := range s.Causes {
			fmt.Fprintf(t, "%d\t", row.ByCause[cause.Cause])
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}
