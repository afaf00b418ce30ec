package platform

import (
	"net/http"

	"damsontiller/internal/coordination/web"
)

// ReadinessHandler serves the platform's readiness probe, GET /v1/readiness. It answers with status
// 200 if check returns nil and otherwise with status 503 and the name of the error.
func ReadinessHandler(check func() error) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if err := check(); err != nil {
			http.Error(w, web.FailureOf(err).Name, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}
