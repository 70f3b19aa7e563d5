// Package discovery keeps a node's picture of the fleet up to date: the configuration in force and the registered
// endpoints.
//
// Both come from a store that can only be read. One node a zone reads it with long polls; the others learn from its
// reports that something has changed and fetch it over the peer protocol. If no reader reports contact with the store,
// further nodes begin to read, staggered by their rank, so that a store that turns some nodes away is still read by the
// others. Versions only move forward, whatever the source.
//
// store.go defines the interface to the store, service.go the state and what nodes tell each other, transfer.go how a
// configuration travels between them, readers.go the duties that read.
package discovery
