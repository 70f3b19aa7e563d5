package scenario

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Scenarios returns all scenarios, the demo first.
func Scenarios() []*Scenario {
	return []*Scenario{
		demo(), serviceDown(), frozenNode(), faultyLinks(),
		killed("kill-ingress", "the node that callers use is killed during keyed requests", killIngress),
		killed("kill-owner", "the node that owns an endpoint is killed during keyed requests", killOwner),
		killed("kill-both", "a node that callers use and an owner are killed during keyed requests", killBoth),
	}
}

// ByName returns a scenario, or an error that lists all.
func ByName(name string) (*Scenario, error) {
	var names []string
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
		names = append(names, s.Name)
	}
	return nil, fmt.Errorf("scenario %q: want one of %v", name, names)
}

func demo() *Scenario {
	return &Scenario{
		Name:        "demo",
		Description: "a frozen backend server, a planned stop of a host, and a killed host",
		Mix:         Mix(),
		Rate:        250,
		Duration:    20 * time.Second,
		Faults:      demoFaults,
	}
}

func demoFaults(ctx context.Context, r *Run) error {
	if err := r.Wait(ctx, 2*time.Second); err != nil {
		return err
	}
	frozen := r.Fleet.Backends["order-1"]
	r.Log("SIGSTOP to backend server order-1")
	if err := frozen.Freeze(); err != nil {
		return err
	}
	// Longer than the deadline, so that the callers of the requests that the server holds are told that the outcome is
	// unknown.
	if err := r.Wait(ctx, deadlineMS*time.Millisecond+2*time.Second); err != nil {
		return err
	}
	r.Log("SIGCONT to backend server order-1")
	if err := frozen.Thaw(); err != nil {
		return err
	}
	// Requests that the frozen server held must end before the planned stop, which must not interrupt any.
	if err := r.Wait(ctx, deadlineMS*time.Millisecond); err != nil {
		return err
	}
	if err := r.StopHost(ctx, "h4"); err != nil {
		return err
	}
	return r.KillHost("h3")
}

func serviceDown() *Scenario {
	return &Scenario{
		Name:        "service-down",
		Description: "the configuration service stops after the first read; a node that starts later gets it from its peers",
		Hosts:       []string{"h1", "h2", "h3", "h5"},
		Mix:         Mix(),
		Rate:        100,
		Duration:    8 * time.Second,
		Faults:      serviceDownFaults,
	}
}

func serviceDownFaults(ctx context.Context, r *Run) error {
	r.Log("SIGKILL to the configuration service")
	if err := r.Fleet.ConfigService.Kill(); err != nil {
		return err
	}
	if err := r.Wait(ctx, 2*time.Second); err != nil {
		return err
	}
	r.Log("starting the node of host h4")
	if err := r.Fleet.StartNode("h4"); err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.Fleet.AwaitReady(startCtx, "h4"); err != nil {
		return err
	}
	status, err := r.Fleet.Status(ctx, "h4")
	if err != nil {
		return err
	}
	if status.Configuration.Version != r.Fleet.Document().Version {
		return fmt.Errorf("node h4 has version %v, want %v", status.Configuration.Version, r.Fleet.Document().Version)
	}
	r.Log("node h4 is ready with version %d.%d from %s", status.Configuration.Version.Epoch,
		status.Configuration.Version.Sequence, status.Configuration.Source)
	return nil
}

func frozenNode() *Scenario {
	return &Scenario{
		Name:        "frozen-node",
		Description: "the node of a host with endpoints and a recorder is frozen for longer than a claim window and resumes",
		Mix:         Mix(),
		Rate:        100,
		Duration:    13 * time.Second,
		Faults:      frozenNodeFaults,
	}
}

func frozenNodeFaults(ctx context.Context, r *Run) error {
	if err := r.Wait(ctx, time.Second); err != nil {
		return err
	}
	node := r.Fleet.Nodes["h3"]
	for _, pause := range []time.Duration{1500 * time.Millisecond, 6 * time.Second} {
		r.Log("SIGSTOP to node h3 for %v", pause)
		if err := node.Freeze(); err != nil {
			return err
		}
		waitErr := r.Wait(ctx, pause)
		if err := errors.Join(waitErr, node.Thaw()); err != nil {
			return err
		}
		r.Log("SIGCONT to node h3")
		if err := r.Wait(ctx, time.Second); err != nil {
			return err
		}
	}
	return nil
}

func faultyLinks() *Scenario {
	return &Scenario{
		Name:        "faulty-links",
		Description: "responses of one owner are lost, then requests to another, then connections fall silent",
		Links:       []string{"h2", "h3"},
		Mix:         Mix(),
		Rate:        100,
		Duration:    11 * time.Second,
		Faults:      faultyLinksFaults,
	}
}

func faultyLinksFaults(ctx context.Context, r *Run) error {
	steps := []struct {
		host, conditions string
	}{
		{"h2", `{"lose":"to-client"}`}, {"h2", `{"lose":""}`},
		{"h3", `{"lose":"to-server"}`}, {"h3", `{"lose":""}`},
	}
	for _, step := range steps {
		if err := r.Wait(ctx, 2*time.Second); err != nil {
			return err
		}
		r.Log("link before %s: %s", step.host, step.conditions)
		if err := r.Fleet.SetConditions(ctx, step.host, step.conditions); err != nil {
			return err
		}
	}
	if err := r.Wait(ctx, time.Second); err != nil {
		return err
	}
	r.Log("connections through the links before h2 and h3 fall silent")
	return errors.Join(r.Fleet.Silence(ctx, "h2"), r.Fleet.Silence(ctx, "h3"))
}

func killed(name, description string, faults func(context.Context, *Run) error) *Scenario {
	return &Scenario{
		Name:        name,
		Description: description,
		Mix:         KeyedMix(),
		Rate:        120,
		Duration:    6 * time.Second,
		Faults:      faults,
	}
}

func killIngress(ctx context.Context, r *Run) error {
	return killNodes(ctx, r, "h5")
}

func killOwner(ctx context.Context, r *Run) error {
	return killNodes(ctx, r, "h2")
}

func killBoth(ctx context.Context, r *Run) error {
	return killNodes(ctx, r, "h4", "h2")
}

// killNodes kills the nodes and leaves their backend servers running, so that work that was passed on goes on. The
// nodes start again at once with empty memory.
func killNodes(ctx context.Context, r *Run, hosts ...string) error {
	for range 3 {
		if err := r.Wait(ctx, time.Second); err != nil {
			return err
		}
		r.Log("SIGKILL to nodes %v", hosts)
		for _, host := range hosts {
			if err := r.Fleet.Nodes[host].Kill(); err != nil {
				return err
			}
		}
		if err := r.Wait(ctx, 300*time.Millisecond); err != nil {
			return err
		}
		for _, host := range hosts {
			if err := r.Fleet.StartNode(host); err != nil {
				return err
			}
		}
	}
	return nil
}
