// Package linkchecker finds out whether an entry has lost its links to all backend servers of a service.
//
// A backend server that does not answer has failed, or the entry cannot reach
// it. After a failure the checker probes other servers of the service: if
// several of them do not answer either and another entry reaches the service,
// the links are lost. It then probes until servers answer again.
package linkchecker
