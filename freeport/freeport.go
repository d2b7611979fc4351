// Package freeport finds addresses for processes that tests start. They lie below the
// ports that the operating system gives to outgoing connections, which could otherwise
// take an address between its choice and its use.
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
	// lowest and count bound the ports that are tried. The range of outgoing connections
	// begins at 32768 on Linux.
	lowest = 12000
	count  = 20000
	// attempts bounds the search.
	attempts = 100
)

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

var (
	mu    sync.Mutex
	found = make(map[string]bool)
)

// Find returns an address of the loopback interface where nobody listens and that it has
// not returned before. Ports are drawn at random, so that tests of several processes seldom
// meet.
func Find() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range attempts {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(lowest+rand.IntN(count)))
		if found[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // somebody listens there
		}
		l.Close()
		found[address] = true
		return address, nil
	}
	return "", &Error{lagoonhead.Fault{Op: "freeport.find", Kind: lagoonhead.KindExhausted, Err: errors.New("no free port was found")}}
}
