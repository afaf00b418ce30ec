// Package limitio reads files whose size another party decides.
package limitio

import (
	"fmt"
	"io"
	"os"
)

// ReadFile reads a file of at most maxBytes.
func ReadFile(path string, maxBytes int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxBytes+1))
	if err == nil && int64(len(data)) > maxBytes {
		err = fmt.Errorf("%s: more than %d bytes", path, maxBytes)
	}
	return data, err
}
