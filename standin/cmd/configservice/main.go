// Command configservice runs the stand-in for the platform's configuration service.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"agatepulley.example/agatepulley/standin/configservice"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

type options struct {
	Listen string `long:"listen" description:"IP address and port to listen on; port 0 chooses one" default:"127.0.0.1:7600"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "configservice:", err)
		os.Exit(exitFailure)
	}
}

func run(o options) error {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	// The first line of the output tells callers the address when the port was chosen.
	fmt.Println("listening on", listener.Addr())
	server := &http.Server{Handler: configservice.New().Handler(), ReadHeaderTimeout: 10 * time.Second}
	return server.Serve(listener)
}
