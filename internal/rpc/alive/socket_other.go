//go:build !linux

package alive

// socketState returns an error: only Linux tells the state of a socket.
func socketState(int) (state, error) { return state{}, errUnknownState }
