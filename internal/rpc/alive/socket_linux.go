package alive

import "golang.org/x/sys/unix"

// tcpEstablished is TCP_ESTABLISHED of the Linux kernel: neither end has closed the connection.
const tcpEstablished = 1

// socketState returns the state of a TCP socket.
func socketState(fd int) state {
	i, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return state{}
	}
	return state{known: true, closed: i.State != tcpEstablished, acknowledged: i.Unacked == 0 && i.Notsent_bytes == 0}
}
