package member

import "time"

// Settings are the settings of one node. They come from the platform that the node runs on.
type Settings struct {
	Name   string
	IP     string
	Zone   string
	Region string

	// CallerListen takes requests of callers on the same host, HopListen those of other nodes, and AdminListen serves
	// readiness, status and metrics.
	CallerListen string
	HopListen    string
	AdminListen  string
	// PeerPort is the port, on every host, of the protocols between nodes.
	PeerPort int

	// BackendAddress and Service describe the endpoint beside the node.
	BackendAddress string
	Service        string

	StoreAddress string
	// FirstStart is set if the whole fleet starts for the first time, so that there are no callers yet.
	FirstStart bool

	// StopTimeout is the time after which the platform kills a process that was asked to stop, and StopNotice the time
	// for which callers may still come although the node says that it is not ready.
	StopTimeout time.Duration
	StopNotice  time.Duration

	// The retries of a service over the whole fleet may reach RetryRatio of its requests plus RetryConstant in each
	// RetryWindow.
	RetryRatio    float64
	RetryConstant float64
	RetryWindow   time.Duration
}
