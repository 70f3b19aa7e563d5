// Package quota limits the requests of a workspace over the whole fleet without shared state.
//
// Each workspace belongs to a slot, and each slot to a group of nodes, ranked by rendezvous hashing over the registered hosts. One
// node of the group at a time holds the slot: it has the votes of a quorum of the group, each for a limited time. Only the holder
// hands out tokens, from one bucket for each workspace, and each request of the workspace takes a token at the node that it
// arrives at. Quorums of groups that differ by one node overlap, so two nodes never hold a slot at the same time, whoever is
// killed, cut off or late. A new holder starts with the tokens that a bucket would have which was empty when the holder before it
// lost its last vote, so all holders together hand out no more than one bucket does.
//
// Tokens and votes are worthless after a fixed time, which each side measures by its own clock from the moment at which it sent the
// message that asked for them. A Node is pure: events go in with the time, messages and decisions come out.
package quota
