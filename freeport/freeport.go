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
	// firstPort and portCount are the range of ports that are used. The ephemeral ports
	// begin at 32768 on Linux.
	firstPort = 12000
	portCount = 20000
	// blockSize is the number of ports that a test process claims at a time.
	blockSize = 100
	// maxAttempts is the number of random blocks that are tried for a claim.
	maxAttempts = 100
)

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

// finder finds the ports of one test process. It claims blocks of ports by listening on the
// first one of each until the process ends, so that no other process returns a port between
// the time when it is found and the time when a daemon listens on it.
type finder struct {
	mu sync.Mutex
	// claims holds the listeners on the first ports of the claimed blocks.
	claims []net.Listener
	// next and end delimit the ports of the newest block that were not returned yet.
	next, end int
}

var process finder

// Find returns an address of the loopback interface on which no process listens and that
// neither this nor another test process has returned before. It returns KindExhausted when
// there is none.
func Find() (string, error) { return process.find() }

func (f *finder) find() (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		for f.next < f.end {
			address := loopback(f.next)
			f.next++
			if l, err := net.Listen("tcp", address); err == nil {
				l.Close()
				return address, nil
			}
		}
		if err := f.claim(); err != nil {
			return "", err
		}
	}
}

// claim claims a random block that no process has claimed.
func (f *finder) claim() error {
	for range maxAttempts {
		first := firstPort + blockSize*rand.IntN(portCount/blockSize)
		l, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue
		}
		f.claims = append(f.claims, l)
		f.next, f.end = first+1, first+blockSize
		return nil
	}
	return &Error{lagoonhead.Fault{Op: "freeport.find", Kind: lagoonhead.KindExhausted, Err: errors.New("all blocks of ports that were tried are in use")}}
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
