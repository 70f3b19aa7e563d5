// Package routing decides which service a request goes to and under which rules.
//
// A Config is one version of what operators published: routes, services and the limits on what callers may send. A
// Table is built from it once and then read without locks: routes are looked up by host and by the longest prefix that
// begins the path, and a route that is split picks one of its services by weight.
package routing
