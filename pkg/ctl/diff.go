package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"agatepulley.example/agatepulley/pkg/config"
)

const diffHelp = `Lists the changes from document OLD to document NEW by entry, with the old and the new value of each ` +
	`changed field. Both documents must be valid. Says so if the version of NEW is not higher than that of OLD, since ` +
	`nodes that have OLD then reject NEW.`

// fieldEndpoints is omitted from the changes of a service, because changes of endpoints are listed as separate entries.
const fieldEndpoints = "endpoints"

type diffCommand struct {
	env        *environment
	Positional struct {
		Old string `positional-arg-name:"OLD" description:"document in force"`
		New string `positional-arg-name:"NEW" description:"document to publish"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	before, err := readDocument(c.Positional.Old)
	if err != nil {
		return err
	}
	after, err := readDocument(c.Positional.New)
	if err != nil {
		return err
	}
	return writeDiff(c.env.stdout, before, after)
}

func writeDiff(w io.Writer, before, after *config.Snapshot) error {
	changes := config.Diff(before.Document(), after.Document())
	fmt.Fprintf(w, "version %s -> %s, %d changed entries\n", versionText(before.Version()), versionText(after.Version()), len(changes))
	if after.Version().Compare(before.Version()) <= 0 && before.Digest() != after.Digest() {
		fmt.Fprintln(w, "warning: the new version is not higher; nodes reject it")
	}
	for i := range changes {
		if err := writeChange(w, &changes[i]); err != nil {
			return err
		}
	}
	return nil
}

func writeChange(w io.Writer, change *config.Change) error {
	name := change.ID
	if change.Service != "" {
		name = change.Service + "/" + change.ID
	}
	fmt.Fprintf(w, "%s %s %s\n", change.Action, change.Kind, name)
	before, err := fields(change.Old)
	if err != nil {
		return err
	}
	after, err := fields(change.New)
	if err != nil {
		return err
	}
	names := maps.Clone(before)
	maps.Copy(names, after)
	for _, field := range slices.Sorted(maps.Keys(names)) {
		if field == fieldEndpoints || before[field] == after[field] {
			continue
		}
		if _, err := fmt.Fprintf(w, "  %s: %s -> %s\n", field, orNone(before[field]), orNone(after[field])); err != nil {
			return fmt.Errorf("write output: %w", err)
		}
	}
	return nil
}

// fields returns the JSON text of each field of an entry, by the name of the field. The map is empty if entry is nil.
func fields(entry any) (map[string]string, error) {
	texts := make(map[string]string)
	if entry == nil {
		return texts, nil
	}
	data, err := json.Marshal(entry)
	if err != nil {
		return nil, fmt.Errorf("encode entry: %w", err)
	}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, fmt.Errorf("decode entry: %w", err)
	}
	for name, value := range raw {
		texts[name] = string(value)
	}
	return texts, nil
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
