// Package quotas limits the requests of workspaces over the whole fleet: it connects package core/quota, which decides, with the
// network, the clock and the requests that wait. It does nothing while no workspace with a limit sends requests.
package quotas
