// Package web provides the HTTP server that all processes share: request limits, JSON error
// responses and graceful shutdown.
package web

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"damsontiller/internal/transport"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/listen"
	"damsontiller/internal/transport/membudget"
)

// Failure is the JSON body of the response to a failed request.
type Failure struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Problem string `json:"problem"`
	// Ran is "no" only if the request was not executed and will not be.
	Ran string `json:"ran,omitempty"`
	// Version is the spec version in force if an operator's change conflicted with another one.
	Version uint64 `json:"version,omitempty"`
	// NotBefore is the earliest time for a retry by this server's clock, which callers can
	// read from the Date header.
	NotBefore string `json:"not_before,omitempty"`
	WaitMs    int64  `json:"wait_ms,omitempty"`
	Job       string `json:"job,omitempty"`
}

// FailureOf returns the response body for an error.
func FailureOf(err error) Failure {
	errorCode := code.Of(err)
	return Failure{Code: int(errorCode), Name: errorCode.Name(), Problem: code.Text(err), Ran: errorCode.Ran()}
}

// New returns a server that answers all errors with a Failure, including those of unknown
// paths and methods.
func New(log hclog.Logger) *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		if c.Response().Committed {
			return
		}
		var httpError *echo.HTTPError
		if errors.As(err, &httpError) {
			err = code.New(code.NoPath, "%s: %s", c.Request().URL.Path, http.StatusText(httpError.Code))
			if httpError.Code == http.StatusMethodNotAllowed {
				c.Response().Header().Set("Allow", c.Response().Header().Get("Allow"))
			}
		}
		if sendErr := Fail(c, err); sendErr != nil {
			log.Debug("cannot send the error response", "err", sendErr)
		}
	}
	e.Use(limitWriteTime)
	e.Use(limitMemory(membudget.New(maxBodiesBytes)))
	return e
}

// maxBodiesBytes limits the memory of the request bodies that a server reads or holds at once.
const maxBodiesBytes = 16 << 20

// accountKey is the key of a request's account in its context.
const accountKey = "memory"

// limitMemory gives each request an account for its body.
func limitMemory(budget *membudget.Budget) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			account := budget.Account()
			defer account.Close()
			c.Set(accountKey, account)
			return next(c)
		}
	}
}

// writeTimeout is the time a client has to read a response. It starts at the first byte:
// responses are complete before the server begins to write them.
const writeTimeout = 10 * time.Second

// limitWriteTime sets a write deadline on the connection, so that a client that does not read
// its response can't block the server.
func limitWriteTime(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			_ = http.NewResponseController(c.Response().Writer).SetWriteDeadline(time.Now().Add(writeTimeout))
		})
		return next(c)
	}
}

// Fail responds with the Failure for an error and the HTTP status of its code.
func Fail(c echo.Context, err error) error {
	failure := FailureOf(err)
	return c.JSON(Status(code.Code(failure.Code)), failure)
}

// Status returns the HTTP status for an error code. Codes that are exchanged only between
// the processes of the system have no status; if one reaches a client, the status is 503
// Service Unavailable, since the failure is temporary.
func Status(c code.Code) int {
	if status := c.Status(); status > 0 {
		return status
	}
	return http.StatusServiceUnavailable
}

// ReadBody reads a request body of at most maxBytes. Larger bodies fail with TooLarge, and those
// that exceed the memory for all bodies with MemoryFull.
func ReadBody(c echo.Context, maxBytes int64) ([]byte, error) {
	account, _ := c.Get(accountKey).(*membudget.Account)
	body, err := account.ReadUpTo(c.Request().Body, maxBytes+1)
	switch {
	case code.Of(err) == code.MemoryFull:
		return nil, err
	case errors.Is(err, io.ErrUnexpectedEOF):
		// The client ended the body before the announced Content-Length.
		return nil, code.New(code.BadJSON, "body is cut short: %w", err)
	case err != nil:
		return nil, code.New(code.BodyLost, "body can't be read: %w", err)
	}
	if int64(len(body)) > maxBytes {
		return nil, code.New(code.TooLarge, "more than %d bytes", maxBytes)
	}
	return body, nil
}

// DecodeStrict decodes a JSON value and rejects unknown fields and trailing data.
func DecodeStrict(body []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		if strings.Contains(err.Error(), "unknown field") {
			return code.New(code.UnknownField, "%w", err)
		}
		return code.New(code.BadJSON, "%w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return code.New(code.BadJSON, "something follows the body")
	}
	return nil
}

// PartitionRoutes registers the fault injection endpoint, with which tests partition this
// process from others.
func PartitionRoutes(e *echo.Echo, partitions *transport.Partitions) {
	e.POST("/debug/cuts", func(c echo.Context) error {
		var request struct {
			Cut []string `json:"cut"`
		}
		if err := c.Bind(&request); err != nil {
			return Fail(c, code.New(code.BadJSON, "%w", err))
		}
		partitions.Set(request.Cut)
		return c.JSON(http.StatusOK, map[string]int{"fired": partitions.Swallowed()})
	})
}

// maxConnections limits the connections of a server. Further ones are closed unread.
const maxConnections = 512

// Serve serves HTTP at addr until the server fails or ctx is canceled. On cancellation it shuts
// the server down gracefully and closes the connections that are still active after the grace
// period.
func Serve(ctx context.Context, opener listen.Opener, addr string, e *echo.Echo, gracePeriod time.Duration) error {
	listener, err := opener.TCP(ctx, net.ListenConfig{}, addr)
	if err != nil {
		return err
	}
	listener = listen.Limit(listener, maxConnections, nil)
	server := &http.Server{
		Handler:           e,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       30 * time.Second,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    64 << 10,
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), gracePeriod)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return server.Close()
	}
	return nil
}
