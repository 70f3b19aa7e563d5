// Package routing decides which service a request goes to and under which rules.
//
// A Config is one version of the published configuration: routes, services and limits for requests. A Table is built from it
// once and then read without locks. It finds the route of a request by the host and the longest matching prefix of the path.
// A route with several services selects one of them by weight.
package routing
