package operator_test

import (
	"fmt"
	"os"
	"time"

	"agatepulley.example/agatepulley/operator"
)

func Example() {
	fleet := operator.New(nil)
	fleet.Host("h1", "10.0.0.1").Zone("z1")
	desk := fleet.Service("order-desk").Floor(70).ClaimWindow(2 * time.Minute)
	desk.Endpoint("order-1", "h1").Slots(3)
	fleet.Route("charge", "/charges").To("order-desk").Methods("POST").NonRepeatable().RequireKey()
	document, err := fleet.Build()
	if err != nil {
		fmt.Println(err)
		return
	}
	if err := operator.Write(os.Stdout, document); err != nil {
		fmt.Println(err)
	}
	// Output:
	// {"format":"agatepulley/1","version":{"epoch":1,"sequence":1},"hosts":[{"id":"h1","address":"10.0.0.1","zone":"z1","ingress_port":7000,"hop_port":7001,"peer_port":7002}],"services":[{"name":"order-desk","floor_percent":70,"claims":{"window_ms":120000,"generation":1,"recorders":["h1"]},"endpoints":[{"id":"order-1","host":"h1","slots":3}]}],"routes":[{"id":"charge","path_prefix":"/charges","methods":["POST"],"service":"order-desk","repeatable":false,"key_required":true}]}
}
