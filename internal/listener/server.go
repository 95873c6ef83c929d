package listener

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"clementineyard/internal/parser"
	"clementineyard/wire"
)

const (
	// readTimeout ends a request whose sender is slow.
	readTimeout = 10 * time.Second
	idleTimeout = 60 * time.Second
)

// NewServer returns an HTTP server with the limits of the settings.
func NewServer(l parser.Limits, h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: h, Name: "clementineyard",
		ReadBufferSize: l.HeaderBytes, MaxRequestBodySize: l.BodyBytes, Concurrency: l.Connections,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		NoDefaultServerHeader: true, CloseOnShutdown: true,
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) { writeBadInput(ctx, protocolError(err)) },
	}
}

// protocolError tells why a request could not be read.
func protocolError(err error) *badInput {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return &badInput{reason: wire.Reason_REASON_INVALID, status: fasthttp.StatusRequestTimeout, field: "request", detail: "was not received in time"}
	}
	var tooSmall *fasthttp.ErrSmallBuffer
	if errors.As(err, &tooSmall) {
		return &badInput{reason: wire.Reason_REASON_INVALID, status: fasthttp.StatusRequestHeaderFieldsTooLarge, field: "headers", detail: "are too large"}
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return &badInput{reason: wire.Reason_REASON_INVALID, status: fasthttp.StatusRequestEntityTooLarge, field: "body", detail: "is too large"}
	}
	return invalid("request", "cannot be read: "+err.Error())
}
