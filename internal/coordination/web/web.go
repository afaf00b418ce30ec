// Package web is the HTTP side every process shares: limits, plain failures,
// a graceful end.
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
)

// Failure is what a caller reads of a failed request.
type Failure struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Problem string `json:"problem"`
	// Ran is "no" only for work that did not run and won't.
	Ran string `json:"ran,omitempty"`
	// Version is the spec in force, where an operator's change lost a race.
	Version uint64 `json:"version,omitempty"`
	// NotBefore is when to come back, by this server's clock (see Date).
	NotBefore string `json:"not_before,omitempty"`
	WaitMs    int64  `json:"wait_ms,omitempty"`
	Job       string `json:"job,omitempty"`
}

// FailureOf turns an error into a failure.
func FailureOf(err error) Failure {
	c := code.Of(err)
	return Failure{Code: int(c), Name: c.Name(), Problem: code.Text(err), Ran: c.Ran()}
}

// New makes a server whose unknown paths are numbered failures as well.
func New(log hclog.Logger) *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		if c.Response().Committed {
			return
		}
		var he *echo.HTTPError
		if errors.As(err, &he) {
			err = code.New(code.NoPath, "%s: %s", c.Request().URL.Path, http.StatusText(he.Code))
			if he.Code == http.StatusMethodNotAllowed {
				c.Response().Header().Set("Allow", c.Response().Header().Get("Allow"))
			}
		}
		if jerr := Fail(c, err); jerr != nil {
			log.Debug("answer not sent", "err", jerr)
		}
	}
	e.Use(boundAnswers)
	return e
}

// answerTimeout is how long a caller has to read an answer. All answers here are made
// before their first byte is written.
const answerTimeout = 10 * time.Second

// boundAnswers ends the connection of a caller that does not read its answer.
func boundAnswers(next echo.HandlerFunc) echo.HandlerFunc {
	return func(x echo.Context) error {
		x.Response().Before(func() {
			_ = http.NewResponseController(x.Response().Writer).SetWriteDeadline(time.Now().Add(answerTimeout))
		})
		return next(x)
	}
}

// Fail answers with the failure's own status.
func Fail(c echo.Context, err error) error {
	p := FailureOf(err)
	return c.JSON(Status(code.Code(p.Code)), p)
}

// Status is the HTTP status of a failure. Codes that are meant for other processes of
// the system have none of their own; one that comes up to a caller says no more than
// that it did not work this time.
func Status(c code.Code) int {
	if s := c.Status(); s > 0 {
		return s
	}
	return http.StatusServiceUnavailable
}

// ReadBody reads a request's body up to a limit.
func ReadBody(c echo.Context, most int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(c.Request().Body, most+1))
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		// Its sender ended it before the length that it had stated.
		return nil, code.New(code.BadJSON, "body is cut short: %w", err)
	case err != nil:
		return nil, code.New(code.BodyLost, "body can't be read: %w", err)
	}
	if int64(len(b)) > most {
		return nil, code.New(code.TooLarge, "more than %d bytes", most)
	}
	return b, nil
}

// DecodeStrict reads JSON without unknown fields and with nothing after it.
func DecodeStrict(b []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		if strings.Contains(err.Error(), "unknown field") {
			return code.New(code.UnknownField, "%w", err)
		}
		return code.New(code.BadJSON, "%w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return code.New(code.BadJSON, "something follows the body")
	}
	return nil
}

// PartitionRoutes adds the rehearsal kit's switch for cutting this process off.
func PartitionRoutes(e *echo.Echo, cuts *transport.Partitions) {
	e.POST("/debug/cuts", func(c echo.Context) error {
		var q struct {
			Cut []string `json:"cut"`
		}
		if err := c.Bind(&q); err != nil {
			return Fail(c, code.New(code.BadJSON, "%w", err))
		}
		cuts.Set(q.Cut)
		return c.JSON(http.StatusOK, map[string]int{"fired": cuts.Swallowed()})
	})
}

// Serve runs e at addr until ctx ends, then gives requests under way the grace.
func Serve(ctx context.Context, open listen.Opener, addr string, e *echo.Echo, grace time.Duration) error {
	ln, err := open.TCP(ctx, net.ListenConfig{}, addr)
	if err != nil {
		return err
	}
	s := &http.Server{
		Handler:           e,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       30 * time.Second,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    64 << 10,
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ln) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	gctx, stop := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer stop()
	if err := s.Shutdown(gctx); err != nil {
		return s.Close()
	}
	return nil
}
