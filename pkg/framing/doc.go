// Package framing reads the heads and bodies of a connection strictly and with bounded memory before a parser sees them. A head is
// handed over only when it is complete and well-formed, so that no two servers can disagree on where a request ends (request
// smuggling) and no response is passed on with a body that is not that of its server. What a sender adds without need, such as
// empty lines, chunk extensions and trailers, is kept from the parser.
package framing
