package listener

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"clementineyard/internal/acceptor"
	"clementineyard/internal/parser"
	"clementineyard/wire"
)

const (
	// readTimeout bounds the time in which a whole request must arrive, so that slow senders don't hold connections.
	readTimeout = 10 * time.Second
	idleTimeout = 60 * time.Second
)

// NewServer returns an HTTP server that enforces the limits of the settings and serves requests with h.
func NewServer(l parser.Limits, h fasthttp.RequestHandler) *fasthttp.Server {
	s := &fasthttp.Server{
		Handler: h, Name: "clementineyard",
		ReadBufferSize: l.HeaderBytes, MaxRequestBodySize: l.BodyBytes, Concurrency: l.Connections,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		NoDefaultServerHeader: true, CloseOnShutdown: true,
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) { writeRequestError(ctx, protocolError(err)) },
	}
	acceptor.ServeFastHTTP(s, func(*fasthttp.RequestHeader) int { return l.BodyBytes })
	return s
}

// protocolError maps an error of reading a request to the error that its sender gets.
func protocolError(err error) *requestError {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return &requestError{reason: wire.Reason_REASON_INVALID, status: fasthttp.StatusRequestTimeout, field: "request", detail: "was not received in time"}
	}
	var tooSmall *fasthttp.ErrSmallBuffer
	if errors.As(err, &tooSmall) {
		return &requestError{reason: wire.Reason_REASON_INVALID, status: fasthttp.StatusRequestHeaderFieldsTooLarge, field: "headers", detail: "are too large"}
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return &requestError{reason: wire.Reason_REASON_INVALID, status: fasthttp.StatusRequestEntityTooLarge, field: "body", detail: "is too large"}
	}
	return invalidField("request", "cannot be read: "+err.Error())
}
