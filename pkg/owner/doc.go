// Package owner runs requests on the backend servers of its own host.
//
// The owner is the only path to its endpoints, so it needs no shared state to know how many slots are busy, which
// attempts it has run, and whether a refusal is true. A request passes these steps: it is registered, admitted to a
// slot, claimed if it carries an idempotency key and may not be repeated, checked once more against its deadline, and
// dispatched. Until the first byte is written to the backend server the owner may say "not run"; afterwards the outcome
// is unknown unless a response arrives.
package owner
