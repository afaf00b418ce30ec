package web

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"damsontiller/internal/transport/code"
)

// TestFailEveryCode verifies the HTTP status of every error code. Codes without a status of
// their own are answered with 503.
func TestFailEveryCode(t *testing.T) {
	for _, entry := range code.Table {
		e := New(hclog.NewNullLogger())
		e.GET("/", func(c echo.Context) error { return Fail(c, code.New(entry.Code, "x")) })
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", strings.NewReader("")))
		want := entry.Status
		if want == 0 {
			want = http.StatusServiceUnavailable
		}
		if w.Code != want {
			t.Errorf("%s: %d, want %d", entry.Name, w.Code, want)
		}
	}
}

// TestBody verifies that a body truncated by its sender is reported as malformed, while one
// truncated by a failing connection is reported as lost.
func TestBody(t *testing.T) {
	part := strings.NewReader("{")
	for _, tc := range []struct {
		body io.Reader
		want code.Code
	}{
		{strings.NewReader("{}"), code.OK},
		{strings.NewReader("12345"), code.TooLarge},
		{io.MultiReader(part, iotest.ErrReader(io.ErrUnexpectedEOF)), code.BadJSON},
		{io.MultiReader(part, iotest.ErrReader(errors.New("connection reset"))), code.BodyLost},
	} {
		q := httptest.NewRequest(http.MethodPost, "/", tc.body)
		_, err := ReadBody(echo.New().NewContext(q, httptest.NewRecorder()), 4)
		if code.Of(err) != tc.want {
			t.Errorf("%v, want %s", err, tc.want.Name())
		}
	}
}
