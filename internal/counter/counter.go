package counter

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// CollectEvery is how often counts are handed to the page.
const CollectEvery = time.Second

// New returns the scope and the handler of its page.
func New() (tally.Scope, http.Handler) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "clementineyard", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, CollectEvery)
	return scope, reporter.HTTPHandler()
}
