package assignment

import (
	"errors"
	"syscall"
)

// PortRefused reports whether err means that the connection was refused: no process listens on
// the port.
func PortRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
