package assignment

import (
	"errors"
	"syscall"
)

// Refused tells whether a port was refused: nobody is there.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
