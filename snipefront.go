// Package snipefront holds the vocabulary of a load balancer for backend
// servers whose load shifts within milliseconds.
//
// A caller's request enters at any instance. The pair of a service and a data
// centre is a cell, and one instance at a time owns a cell: it alone dispatches
// to the backend servers of that cell, so its counts of requests in flight are
// exact. The instance that accepted a request hands it to the owner of a cell
// with free capacity, which is often itself.
//
// Ownership is a pure function of the membership epoch. Epochs and accepted
// configuration come from a replicated log on the few instances with disks,
// and an instance dispatches only while it holds an unexpired lease.
//
// This package has the types that cross packages and the interfaces of what
// varies. The implementations are below internal/, two levels deep.
package snipefront
