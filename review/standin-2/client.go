package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const statusOK = http.StatusOK

// sent is a request of a client with its answer.
type sent struct {
	id     string
	at     time.Time
	took   time.Duration
	status int // 0 if there was no answer
	err    error
}

// client sends requests to one daemon over kept connections.
type client struct {
	address, key string
	http         *http.Client

	mu     sync.Mutex
	number int
	all    []sent
	wait   sync.WaitGroup
}

func newClient(address, key string) *client {
	return &client{address: address, key: key, http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

// send sends a request on a route and records its answer.
func (c *client) send(route, name string) sent {
	c.mu.Lock()
	c.number++
	s := sent{id: fmt.Sprintf("%s-%d", name, c.number), at: time.Now()}
	key := c.key
	c.mu.Unlock()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+c.address+"/"+route+"/x", strings.NewReader("one crate"))
	check(err)
	r.Host = host
	r.Header.Set("X-Request-Id", s.id)
	r.Header.Set("X-Deadline-Ms", "3000")
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.http.Do(r)
	if err == nil {
		s.status = resp.StatusCode
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	s.took, s.err = time.Since(s.at), err
	c.mu.Lock()
	c.all = append(c.all, s)
	c.mu.Unlock()
	return s
}

// load sends requests at a rate until a time, without waiting for answers.
func (c *client) load(route, name string, every time.Duration, until time.Time) {
	for time.Now().Before(until) {
		c.wait.Go(func() { c.send(route, name) })
		time.Sleep(every)
	}
}

// answers returns all requests by their identifiers.
func (c *client) answers() map[string]sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := make(map[string]sent)
	for _, s := range c.all {
		m[s.id] = s
	}
	return m
}
