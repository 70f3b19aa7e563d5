package ctl

import (
	"fmt"
	"os"

	"agatepulley.example/agatepulley/pkg/config"
)

const validateHelp = `Checks a configuration document with the same rules as the operator library and the nodes. All ` +
	`errors are listed, each with the path of the field, the reason and the valid values. "-" reads standard input.`

type validateCommand struct {
	env        *environment
	Positional struct {
		File string `positional-arg-name:"FILE" description:"document to check"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	snapshot, err := readDocument(c.Positional.File)
	if err != nil {
		return err
	}
	document := snapshot.Document()
	endpoints := 0
	for i := range document.Services {
		endpoints += len(document.Services[i].Endpoints)
	}
	_, err = fmt.Fprintf(c.env.stdout, "%s: valid, version %s, digest %s\n%d hosts, %d services, %d endpoints, %d routes, %d workspaces\n",
		c.Positional.File, versionText(document.Version), snapshot.Digest(), len(document.Hosts), len(document.Services),
		endpoints, len(document.Routes), len(document.Workspaces))
	return err
}

// readDocument reads and checks the document in a file. The path "-" stands for standard input.
func readDocument(path string) (*config.Snapshot, error) {
	if path == "-" {
		path = os.Stdin.Name()
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	snapshot, err := config.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return snapshot, nil
}

func versionText(v config.Version) string {
	return fmt.Sprintf("%d.%d", v.Epoch, v.Sequence)
}
