package quota

import "time"

// Kind is the kind of a message.
type Kind uint8

// Kinds of messages.
const (
	// Ask asks the holder of a slot for tokens. Grant is the answer.
	Ask Kind = iota + 1
	Grant
	// Campaign asks a node of the group for its vote. Vote is the answer.
	Campaign
	Vote
	// Withdraw gives a vote back that did not lead to a quorum.
	Withdraw
)

// Message is a message between two nodes. Answers repeat the sequence number of what they answer.
type Message struct {
	Kind     Kind
	Slot     int
	Sequence uint64
	// Workspace and Limit are those of an Ask or a Grant. The limit is the one that the sender knows.
	Workspace string
	Limit     Limit
	// Version is the version of the configuration from which Limit is.
	Version uint64
	// Need and Extra are the numbers of tokens that an Ask asks for: for requests that wait, and for later ones.
	Need, Extra int
	// Tokens is the number of tokens of a Grant, and Wait the time until there are further ones.
	Tokens int
	Wait   time.Duration
	// Holder is, in a Grant, the node that the sender takes for the holder instead of itself, or "". In a Vote that is refused it
	// is the node that has the vote.
	Holder string
	// Incarnation is that of the process which campaigns.
	Incarnation uint64
	// Granted is set in a Vote that is given. Quiet is then the time for which no other node can have held the slot, as far as the
	// voter knows.
	Granted bool
	Quiet   time.Duration
}

// Outgoing is a message to a node.
type Outgoing struct {
	To string
	Message
}
