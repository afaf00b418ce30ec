package cooldown

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// refusalPhrases identify a rate limit in the lower-case message or type name of an error.
var refusalPhrases = []string{"429", "rate limit", "ratelimit", "too many requests", "throttle", "quota exceeded"}

// IsRateLimitError reports whether an error with this type name and message indicates a rate limit.
func IsRateLimitError(typeName, message string) bool {
	for _, text := range []string{strings.ToLower(typeName), strings.ToLower(message)} {
		for _, phrase := range refusalPhrases {
			if strings.Contains(text, phrase) {
				return true
			}
		}
	}
	return false
}

// RetryAfter parses the Retry-After header, in seconds or as a date, and caps it at one day. A date
// is compared with the Date header of the same response, to be independent of clock differences.
func RetryAfter(header http.Header) time.Duration {
	value := strings.TrimSpace(header.Get("Retry-After"))
	if value == "" {
		return 0
	}
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if seconds <= 0 || seconds != seconds { // NaN differs from itself
			return 0
		}
		return time.Duration(min(seconds, 24*3600) * float64(time.Second))
	}
	retryAt, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	sentAt, err := http.ParseTime(header.Get("Date"))
	if err != nil {
		sentAt = time.Now()
	}
	return min(max(retryAt.Sub(sentAt), 0), 24*time.Hour)
}
