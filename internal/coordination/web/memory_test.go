package web

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
)

// TestBodiesOverMemory guards against clients whose bodies together are more than the memory bears:
// those past it are refused with a status that promises nothing for good, and later ones are read.
func TestBodiesOverMemory(t *testing.T) {
	const size, clients = 3 << 20, 12
	e := New(hclog.NewNullLogger())
	read := make(chan struct{})
	e.POST("/body", func(c echo.Context) error {
		body, err := ReadBody(c, size)
		if err != nil {
			return Fail(c, err)
		}
		if len(body) == size {
			<-read
		}
		return c.NoContent(http.StatusOK)
	})
	post := func(n int) int {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/body", strings.NewReader(strings.Repeat("b", n))))
		return w.Code
	}
	statuses := make(chan int, clients)
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() { statuses <- post(size) })
	}
	refused := 0
	// No more than so many bodies fit in, so these are refused while the others are held.
	for range clients - maxBodiesBytes/size {
		if status := <-statuses; status == http.StatusServiceUnavailable {
			refused++
		}
	}
	close(read)
	wg.Wait()
	if refused < clients-maxBodiesBytes/size {
		t.Errorf("%d of %d refused", refused, clients)
	}
	if status := post(size); status != http.StatusOK {
		t.Errorf("after them: %d", status)
	}
	if status := post(size + 1); status != http.StatusRequestEntityTooLarge {
		t.Errorf("over its own limit: %d", status)
	}
}
