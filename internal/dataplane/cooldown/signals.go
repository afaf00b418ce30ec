package cooldown

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

var refusalPhrases = []string{"429", "rate limit", "ratelimit", "too many requests", "throttle", "quota exceeded"}

// IsRateLimitError reports whether a raised failure is a rate limit, by its message or its
// type's name.
func IsRateLimitError(typ, msg string) bool {
	for _, s := range []string{strings.ToLower(typ), strings.ToLower(msg)} {
		for _, w := range refusalPhrases {
			if strings.Contains(s, w) {
				return true
			}
		}
	}
	return false
}

// RetryAfter reads a Retry-After header, in seconds or as a date. A date is
// read against the same server's own Date, so that no two clocks are compared.
func RetryAfter(h http.Header) time.Duration {
	s := strings.TrimSpace(h.Get("Retry-After"))
	if s == "" {
		return 0
	}
	if n, err := strconv.ParseFloat(s, 64); err == nil {
		if n <= 0 || n != n {
			return 0
		}
		return time.Duration(min(n, 24*3600) * float64(time.Second))
	}
	at, err := http.ParseTime(s)
	if err != nil {
		return 0
	}
	from, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		from = time.Now()
	}
	return min(max(at.Sub(from), 0), 24*time.Hour)
}
