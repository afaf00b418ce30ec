package platform

import (
	"net/http"

	"damsontiller/internal/coordination/web"
)

// Ready answers the platform's question whether this node may be sent callers.
func Ready(may func() error) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if err := may(); err != nil {
			http.Error(w, web.FailureOf(err).Name, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return m
}
