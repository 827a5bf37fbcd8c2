package tallier_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"bluebellhoist/daemon/budgeter"
	"bluebellhoist/daemon/tallier"
)

// TestCount guards against arrivals that are missing in the log or counted twice, also at the end of the process.
func TestCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		set := metrics.NewSet()
		ta := tallier.New(
			tallier.WithLogger(hclog.New(&hclog.LoggerOptions{Output: &out, DisableTime: true})),
			tallier.WithMetrics(set),
		)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- ta.Run(ctx) }()
		ta.Count("a", budgeter.First, true)
		ta.Count("a", budgeter.Retry, true)
		ta.Count("a", budgeter.Retry, false)
		time.Sleep(tallier.Interval + time.Millisecond)
		synctest.Wait()
		is.True(strings.Contains(out.String(), "arrivals: service=a first=1 retry=1 caused=0 refused=1"))
		out.Reset()
		time.Sleep(10 * tallier.Interval)
		synctest.Wait()
		is.Equal(out.String(), "") // nothing has arrived
		ta.Count("a", budgeter.Caused, true)
		cancel()
		<-done
		is.True(strings.Contains(out.String(), "arrivals: service=a first=0 retry=0 caused=1 refused=0"))
		var text bytes.Buffer
		set.WritePrometheus(&text)
		is.True(strings.Contains(text.String(), `bluebell_arrivals_total{service="a",kind="retry",admitted="false"} 1`))
	})
}
