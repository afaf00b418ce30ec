package runnerapi

import (
	"net"
	"net/http"
	"time"
)

// maxHeaderBytes limits the head of a runner's answer.
const maxHeaderBytes = 32 << 10

// NewTransport returns the HTTP transport to runners.
func NewTransport() *http.Transport {
	d := &net.Dialer{Timeout: time.Second}
	return &http.Transport{
		DialContext:            d.DialContext,
		MaxIdleConnsPerHost:    32,
		IdleConnTimeout:        30 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
