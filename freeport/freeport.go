// Package freeport finds free TCP ports for processes that tests start. The ports lie
// below the ephemeral ports of the operating system; otherwise an outgoing connection
// could take a port after it was found and before the process listens on it.
package freeport

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// firstPort and portCount are the range of ports that are tried. The ephemeral ports
	// begin at 32768 on Linux.
	firstPort = 12000
	portCount = 20000
	// maxAttempts is the number of random ports that Find tries.
	maxAttempts = 100
)

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

var (
	mu       sync.Mutex
	returned = make(map[string]bool)
)

// Find returns an address of the loopback interface on which no process listens and that
// it has not returned before. Ports are drawn at random, so that several test processes
// rarely find the same one. It returns KindExhausted when all attempts fail.
func Find() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range maxAttempts {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(portCount)))
		if returned[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // the port is in use
		}
		l.Close()
		returned[address] = true
		return address, nil
	}
	return "", &Error{lagoonhead.Fault{Op: "freeport.find", Kind: lagoonhead.KindExhausted, Err: errors.New("no free port was found")}}
}
