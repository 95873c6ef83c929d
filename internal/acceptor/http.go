package acceptor

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/valyala/fasthttp"
)

// connKey is the key of the Conn in the context of a request.
type connKey struct{}

// counted is a connection that the budget counts: a *Conn, or a type that embeds one.
type counted interface {
	net.Conn
	rest()
	begin()
	beginBody() bool
	finish() bool
	readBody(r io.Reader, limit int64) ([]byte, error)
	shrink(n int)
	hold(bytes int) bool
	wait(interrupt func()) bool
}

// ServeHTTP prepares a server for connections of Listen. Its handler reads bodies with ReadBody.
func ServeHTTP(server *http.Server) {
	noteState, handler := server.ConnState, server.Handler
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(counted); ok && state == http.StateIdle {
			c.rest()
		}
		if noteState != nil {
			noteState(conn, state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(counted); ok && (!c.beginBody() || r.ContentLength == 0 && !c.finish()) {
			// The connection is closed already.
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
}

// ReadBody reads the body of a request of at most limit bytes. The function that it returns drops the header and tells that the body
// is no longer held, and how many bytes the request holds instead until its answer. It reports false if they do not fit into the
// budget: the request is then to be refused.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, replace func(held int) bool, err error) {
	c, ok := r.Context().Value(connKey{}).(counted)
	if !ok || r.ContentLength == 0 {
		body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			err = ErrBodyTooLarge
		}
		return body, func(int) bool { return true }, err
	}
	if r.ContentLength > limit {
		return nil, nil, ErrBodyTooLarge
	}
	body, err = c.readBody(r.Body, limit)
	return body, func(held int) bool {
		// The server needs no header of a request that it has read.
		r.Header = http.Header{}
		return c.hold(held)
	}, err
}

// Waiting returns a context for a request that waits, which ends when its connection is given to another client. The handler then
// answers at once.
func Waiting(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	if c, ok := r.Context().Value(connKey{}).(counted); ok && !c.wait(cancel) {
		cancel()
	}
	return ctx, cancel
}

// ServeFastHTTP prepares a server for connections of Listen. fasthttp would reserve the memory of a body of the announced size
// before its first byte, and that of a form beyond any limit of this package, so bodies are read here as they arrive. bodyLimit
// returns the limit for a request.
func ServeFastHTTP(server *fasthttp.Server, bodyLimit func(*fasthttp.RequestHeader) int) {
	handler := server.Handler
	server.StreamRequestBody, server.DisablePreParseMultipartForm = true, true
	// Otherwise an answer is sent only once the next request on the connection is complete, if its first bytes are there.
	server.ReduceMemoryUsage = true
	server.ConnState = func(conn net.Conn, state fasthttp.ConnState) {
		c, ok := conn.(counted)
		switch {
		case ok && state == fasthttp.StateIdle:
			c.rest()
		case ok && state == fasthttp.StateActive:
			c.begin()
		}
	}
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		if err := receiveBody(ctx, int64(bodyLimit(&ctx.Request.Header))); err != nil {
			server.ErrorHandler(ctx, err)
			ctx.SetConnectionClose()
			return
		}
		handler(ctx)
	}
}

// receiveBody reads the body of a request. A connection that the budget does not count has the same limit.
func receiveBody(ctx *fasthttp.RequestCtx, limit int64) error {
	c, isCounted := ctx.Conn().(counted)
	if isCounted && !c.beginBody() {
		return ErrEvicted
	}
	stream := ctx.RequestBodyStream()
	if stream == nil {
		if isCounted && !c.finish() {
			return ErrEvicted
		}
		return nil
	}
	if int64(ctx.Request.Header.ContentLength()) > limit {
		return fasthttp.ErrBodyTooLarge
	}
	var body []byte
	var err error
	if isCounted {
		body, err = c.readBody(stream, limit)
	} else if body, err = io.ReadAll(io.LimitReader(stream, limit+1)); err == nil && int64(len(body)) > limit {
		err = ErrBodyTooLarge
	}
	if errors.Is(err, ErrBodyTooLarge) {
		return fasthttp.ErrBodyTooLarge
	}
	if err != nil {
		return err
	}
	ctx.Request.SetBodyRaw(body)
	return nil
}
