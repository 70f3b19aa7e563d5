package ingress

import (
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/relay"
)

// request is a caller's request that passed the checks of accept.
type request struct {
	id          string
	key         string
	fingerprint string
	route       *config.Route
	service     *config.Service
	head        *protocol.Request
	body        *relay.Body
	arrived     time.Time
	deadline    time.Time
	long        bool
}
