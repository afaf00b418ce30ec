package assignment

import (
	"errors"
	"syscall"
)

// PortRefused reports whether a port was refused: nobody is there.
func PortRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
