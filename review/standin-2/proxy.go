package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// proxy is the link of a daemon to the store. It passes one call after the other on each connection.
type proxy struct {
	name, address, target string

	mu sync.Mutex
	// onAnswer, if set, gets the first line of the request of each answer, and returns how late the answer
	// arrives.
	onAnswer func(request string) time.Duration
}

func newProxy(name, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	p := &proxy{name: name, address: l.Addr().String(), target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

// setOnAnswer replaces onAnswer.
func (p *proxy) setOnAnswer(f func(request string) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onAnswer = f
}

// delay returns how late the answer to a request arrives.
func (p *proxy) delay(r *http.Request) time.Duration {
	p.mu.Lock()
	f := p.onAnswer
	p.mu.Unlock()
	if f == nil {
		return 0
	}
	return f(r.Method + " " + r.RequestURI + " ")
}

// serve passes the calls of a connection on. It ends the connection in order when one of the ends does.
func (p *proxy) serve(c net.Conn) {
	defer c.Close()
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	requests := make(chan *http.Request, 1)
	go func() {
		defer t.Close()
		defer close(requests)
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			r.Header.Set(headerCaller, p.name)
			if r.Write(t) != nil {
				return
			}
			requests <- r
		}
	}()
	answers := bufio.NewReader(t)
	for r := range requests {
		if p.answer(c, answers, r) != nil {
			return
		}
	}
}

// answer passes the answer to a request on.
func (p *proxy) answer(c net.Conn, answers *bufio.Reader, r *http.Request) error {
	w, err := http.ReadResponse(answers, r)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(w.Body)
	w.Body.Close()
	if err != nil {
		return err
	}
	time.Sleep(p.delay(r))
	w.Body, w.ContentLength, w.TransferEncoding = io.NopCloser(bytes.NewReader(body)), int64(len(body)), nil
	return w.Write(c)
}
