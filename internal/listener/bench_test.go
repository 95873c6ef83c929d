package listener_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"clementineyard/internal/listener"
	"clementineyard/internal/parser"
	"clementineyard/wire"
)

// newPost returns the context of a POST request, without a socket.
func newPost(path, body string) *fasthttp.RequestCtx {
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.Header.SetMethod(fasthttp.MethodPost)
	ctx.Request.SetRequestURI("http://10.1.2.3:8080" + path)
	ctx.Request.SetBodyString(body)
	return ctx
}

// BenchmarkAnnouncement measures the handling of a worker's announcement by its number of services, without a socket.
func BenchmarkAnnouncement(b *testing.B) {
	for _, services := range []int{1, 10, 50} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			var names []string
			for i := range services {
				names = append(names, fmt.Sprintf("%q", fmt.Sprint("service", i)))
			}
			ctx := newPost("/v1/announcements", fmt.Sprintf(`{"name":"casa-a-worker-0001","incarnation":1764846000000,"kind":"worker",
"address":"10.1.2.3:8080","failureDomain":"fd-a","services":[%s],"cores":16,"memory":"32GiB","accelerators":1,"rack":"rack-07",
"running":12,"coresInUse":9.5,"memoryInUse":"12GiB"}`, strings.Join(names, ",")))
			relayed := 0
			s := &listener.ServerAPI{
				FailureDomain: "fd-a", Timing: parser.Timing{}, Announce: func(a *wire.Announcement) { relayed = proto.Size(a) },
			}
			b.ReportAllocs()
			for b.Loop() {
				ctx.Response.Reset()
				s.Handle(ctx)
			}
			if ctx.Response.StatusCode() != fasthttp.StatusOK {
				b.Fatal(ctx.Response.String())
			}
			b.ReportMetric(float64(len(ctx.Request.String())+len(ctx.Response.String())), "httpBytes")
			b.ReportMetric(float64(relayed), "relayBytes")
		})
	}
}

// BenchmarkJob measures the handling of a job without a socket: decoding, validation, content hash and response.
func BenchmarkJob(b *testing.B) {
	for _, tasks := range []int{1, 100, 1200} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			submitted := 0
			c := newCallers(&submitted)
			c.Now = func() time.Time { return time.UnixMilli(1_764_846_000_000) }
			ctx := newPost("/v1/jobs", jobBody(tasksBody(tasks)))
			b.ReportAllocs()
			for b.Loop() {
				ctx.Response.Reset()
				c.Handle(ctx)
			}
			if ctx.Response.StatusCode() != fasthttp.StatusOK {
				b.Fatal(ctx.Response.String())
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tasks), "ns/task")
			b.ReportMetric(float64(len(ctx.Request.String())+len(ctx.Response.String()))/float64(tasks), "httpBytes/task")
		})
	}
}
