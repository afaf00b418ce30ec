package core

import (
	"crypto/sha256"
	"hash"
	"io"

	"github.com/labstack/echo/v4"

	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// operationIDHeader carries an operation ID chosen by the sender, so that a request can be retried
// after its answer was lost.
const operationIDHeader = "Idempotency-Key"

// maxOperationIDBytes is the maximum length of an operation ID.
const maxOperationIDBytes = 128

// operationContextKey is the key of the pending operation in the request context.
const operationContextKey = "operation"

// pendingOperation is an operation whose request body is being read.
type pendingOperation struct {
	id      string
	content hash.Hash
}

// hashedBody hashes a body while it is read.
type hashedBody struct {
	io.Reader
	io.Closer
}

// withOperationID is the middleware of requests that may carry an operation ID.
func withOperationID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(x echo.Context) error {
		request := x.Request()
		id := request.Header.Get(operationIDHeader)
		if id == "" {
			return next(x)
		}
		if len(id) > maxOperationIDBytes {
			err := code.New(code.BadHeader, "%s of %d bytes, limit %d", operationIDHeader, len(id), maxOperationIDBytes)
			return writeError(x, err)
		}
		content := sha256.New()
		_, _ = io.WriteString(content, request.Method+" "+request.URL.RequestURI()+"\n")
		request.Body = hashedBody{io.TeeReader(request.Body, content), request.Body}
		x.Set(operationContextKey, &pendingOperation{id, content})
		return next(x)
	}
}

// requestOperation returns the ID and digest of the request's operation. The body must have been
// read.
func requestOperation(x echo.Context) spec.Operation {
	pending, ok := x.Get(operationContextKey).(*pendingOperation)
	if !ok {
		return spec.Operation{}
	}
	digest := pending.content.Sum(nil)
	return spec.Operation{ID: pending.id, Digest: spec.OrderDigest(digest[:len(spec.OrderDigest{})])}
}
