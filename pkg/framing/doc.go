// Package framing reads the requests of a connection strictly and with bounded memory before a parser sees them. It hands over a
// head only when it is complete and well-formed, so that no two servers can disagree on where a request ends (request smuggling),
// and keeps what a sender adds without need, such as empty lines, chunk extensions and trailers, from the parser.
package framing
