// Package program runs a stand-in as a process of its own.
package program

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

const readHeaderTimeout = 10 * time.Second

type options struct {
	Listen string `long:"listen" description:"IP address and port to listen on; port 0 chooses one"`
}

// Main serves handler at the address of the flag --listen until the process ends.
func Main(name, defaultListen string, handler http.Handler) {
	o := options{Listen: defaultListen}
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if err := serve(o, handler); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(exitFailure)
	}
}

func serve(o options, handler http.Handler) error {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	// The first line of the output tells callers the address when the port was chosen.
	fmt.Println("listening on", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	return server.Serve(listener)
}
