package forward

import (
	"fmt"

	"agatepulley.example/agatepulley/core/quarantine"
)

// crashesToRefuse is the number of endpoints after which a request that crashed them is not sent again. It applies to the
// attempts of one request, whose forwarder may learn late that the fleet refuses it.
const crashesToRefuse = quarantine.DefaultMaxCrashes

// fingerprint returns the hash by which a request is recognized when its caller sends it again.
func (f *Forwarder) fingerprint(r *request) string {
	identity := quarantine.Identity{
		Service: r.service, Caller: f.options.CallerService(), Method: string(r.head.Header.Method()),
		URI: string(r.head.Header.RequestURI()), Body: r.body.Prefix,
	}
	return identity.Fingerprint()
}

// quarantine returns how the request may run, according to what the fleet knows and to the request's own attempts.
func (fl *flight) quarantine() quarantine.Action {
	action := fl.forwarder.options.Suspects.Decide(fl.request.fingerprint)
	switch {
	case action == quarantine.Refuse, fl.crashes >= crashesToRefuse:
		return quarantine.Refuse
	case fl.crashes > 0:
		return quarantine.RunAlone
	}
	return action
}

// crashedBefore returns the cause of a refusal, which names the fingerprint for operators.
func (fl *flight) crashedBefore() error {
	return fmt.Errorf("requests with the fingerprint %s have crashed endpoints", fl.request.fingerprint)
}
