package core

import (
	"crypto/sha256"
	"hash"
	"io"

	"github.com/labstack/echo/v4"

	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// operationIDHeader carries an id that the sender of an order has drawn, so that the order
// may be sent again after a lost answer.
const operationIDHeader = "Idempotency-Key"

// maxOperationIDBytes bounds an id, in bytes.
const maxOperationIDBytes = 128

// operationContextKey is where a request keeps its order's id and content.
const operationContextKey = "operation"

// pendingOperation is an order whose body is being read.
type pendingOperation struct {
	id      string
	content hash.Hash
}

// hashedBody hashes a body as it is read.
type hashedBody struct {
	io.Reader
	io.Closer
}

// withOperationID is the middleware of orders that may carry an id.
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

// requestOperation is the order's id and content, once its body has been read.
func requestOperation(x echo.Context) spec.Operation {
	pending, ok := x.Get(operationContextKey).(*pendingOperation)
	if !ok {
		return spec.Operation{}
	}
	digest := pending.content.Sum(nil)
	return spec.Operation{ID: pending.id, Digest: spec.OrderDigest(digest[:len(spec.OrderDigest{})])}
}
