// Package snipefront defines the types and interfaces that the packages of a load
// balancer share. It balances load over backend servers whose load changes within
// milliseconds.
//
// Any instance accepts requests from callers. The backend servers of one service in
// one data centre form a cell, and one instance at a time owns a cell. Only the owner
// dispatches requests to the backend servers of the cell, so its counts of requests
// in flight are exact. The instance that accepted a request forwards it to the owner
// of a cell with free slots, which is often itself.
//
// Ownership is a pure function of the membership epoch. Epochs and the accepted
// configuration come from a log that is replicated on a few instances with disks, the
// control quorum. An owner dispatches only while it holds an unexpired lease.
//
// Instances that follow a Routing instead of a Config own no cells. Several of them
// send to the same backend servers, and probe their load before they choose one.
//
// This package has the types that packages exchange and the interfaces that have
// several implementations. The implementations are below internal/, two levels deep.
package snipefront
