// Package transport sends HTTP/1.1 requests over connections that it manages itself, with hertz's codec.
//
// hertz's own client ignores context deadlines and cancellation. Here a connection is closed as soon as its request
// times out, is cancelled, or leaves a body unread; only a connection whose response was read to its end is reused.
// Errors say whether any byte of the request may have reached the peer, since only then its outcome is unknown.
//
//   - Pool keeps the idle connections to one address.
//   - Pending is a request that was sent and whose response has not arrived.
//   - Response is a response whose body is read by the receiver; it ends with io.EOF only if it is complete.
package transport
