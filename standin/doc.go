// Package standin holds fakes of the platform that a fleet runs on: the configuration service, the host list, backend
// servers and faulty links. They serve tests and the demo and are not shipped.
package standin
