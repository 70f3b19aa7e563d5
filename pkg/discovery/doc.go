// Package discovery keeps a node's state of the fleet up to date: the configuration in force and the registered endpoints.
//
// Both come from a store that nodes can only read. In each of the first zones, one node reads the store with long polls. All
// other nodes learn from reports of their peers that something has changed, and fetch it over the peer protocol. If no
// other node reports contact with the store, further nodes start to read, staggered by their rank, so that a store that
// refuses some nodes is read by others. A configuration or an endpoint list is replaced only by a newer one, whatever the
// source.
//
// store.go defines the interface to the store, readers.go the tasks that read it, and contact.go the choice of the nodes
// that do. service.go holds the state and fetches changes from peers, transfer.go the encoding between peers.
package discovery
