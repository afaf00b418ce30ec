package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clients send requests at a steady rate to the edges of a zone, on connections that they keep.
type clients struct {
	name   string
	edges  []*machine
	perS   float64
	path   string
	header map[string]string
	log    *record

	web  *http.Client
	sent atomic.Int64
	wg   sync.WaitGroup
}

// clientTimeout is how long a client waits for an answer.
const clientTimeout = 4 * time.Second

func newClients(name string, edges []*machine, perS float64, path string, header map[string]string,
	log *record,
) *clients {
	return &clients{
		name: name, edges: edges, perS: perS, path: path, header: header, log: log,
		web: keepingClient(),
	}
}

// keepingClient returns a client that keeps its connections.
func keepingClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// run sends requests until ctx ends, and waits for their answers.
func (c *clients) run(ctx context.Context) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / c.perS))
	defer tick.Stop()
	defer c.wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			n := c.sent.Add(1)
			c.wg.Go(func() { c.once(n) })
		}
	}
}

// once sends one request, a single try.
func (c *clients) once(n int64) {
	edge := c.edges[n%int64(len(c.edges))]
	attempt := fmt.Sprintf("%s-%d", c.name, n)
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+edge.addr(frontPort)+c.path+"4b", strings.NewReader("input "+attempt+"\n"))
	if err != nil {
		return
	}
	q.Host = "ficu95.example"
	q.Header.Set(headerAttempt, attempt)
	q.Header.Set(headerRemaining, fmt.Sprint(clientTimeout.Milliseconds()))
	for name, value := range c.header {
		q.Header.Set(name, value)
	}
	sent := time.Now()
	c.log.request(attempt, edge.name, sent)
	answer, err := c.web.Do(q)
	if err != nil {
		c.log.answer(attempt, 0, err.Error())
		return
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	how := "whole"
	if err != nil {
		how = err.Error()
	}
	c.log.answer(attempt, answer.StatusCode, how)
}
