// Package transport sends HTTP/1.1 requests over connections that it manages itself, with hertz's codec.
//
// The package does not use hertz's own client because that ignores context deadlines and cancellation. Here a
// connection is closed as soon as its request times out or is cancelled, or its response is closed before the body was
// read to the end. Only a connection whose response was read completely is reused. An Error says whether any byte of
// the request may have reached the peer; if so, the peer may have run the request.
//
//   - Pool keeps the idle connections to one address.
//   - Pending is a request that was sent and whose response has not arrived.
//   - Response is a response whose body the caller reads; the body ends with io.EOF only if it is complete.
package transport
