package trace_test

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage/internal/tool/trace"
)

// The logs of two gateways around one request whose target closed the connection
// before it answered.
const (
	firstLog = `I1204 10:59:04.000000   17 contact.go:48] "store lost" lastHeard="4s" error="call store: \"x\""
I1204 10:59:05.000000   17 relay.go:185] "call placed" call="a-1" target="i-1" service="app" waited="0s" free=3 way="Home"
I1204 10:59:05.100000   17 relay.go:199] "attempt failed" call="a-1" target="i-1" notRun=false reason="the target broke off: EOF"
a line that is not structured
I1204 10:59:05.110000   17 serve.go:238] "request failed" id="a-1" code="TargetFailed" targets=["i-1"] last=0 reason="the target broke off: EOF"
I1204 10:59:05.120000   17 serve.go:238] "request answered" id="a-2" code="" targets=["i-1"]
I1204 10:59:55.000000   17 contact.go:40] "store regained" silent="51s"
`
	secondLog = `collector 12 I1204 10:59:05.105000   18 relay.go:240] "target went down" target="i-1" address="127.0.0.1:1" call="b-7"
I1204 10:59:05.106000   18 contact.go:48] "store lost" lastHeard="1s" error="x"
I1204 10:59:05.107000   18 source.go:58] "target went down" target="i-2"
`
)

func read(expect *gomega.WithT) (lines []trace.Line) {
	for process, text := range map[string]string{"first": firstLog, "second": secondLog} {
		parsed, err := trace.Read(process, strings.NewReader(text))
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		lines = append(lines, parsed...)
	}
	return lines
}

func TestExplain(t *testing.T) {
	t.Run("returns a request's lines and their context in order of time", func(t *testing.T) {
		expect := gomega.NewWithT(t)
		var report strings.Builder
		expect.Expect(trace.Write(&report, trace.Explain("a-1", read(expect), 2*time.Second))).To(gomega.Succeed())
		expect.Expect(report.String()).To(gomega.Equal(`10:59:04.000000 first                    store lost lastHeard=4s error=call store: "x"
10:59:05.000000 first                call placed call=a-1 target=i-1 service=app waited=0s free=3 way=Home
10:59:05.100000 first                attempt failed call=a-1 target=i-1 notRun=false reason=the target broke off: EOF
10:59:05.105000 second                   target went down target=i-1 address=127.0.0.1:1 call=b-7
10:59:05.110000 first                request failed id=a-1 code=TargetFailed targets=["i-1"] last=0 reason=the target broke off: EOF
`))
	})
	t.Run("returns nothing for an ID that no line contains", func(t *testing.T) {
		expect := gomega.NewWithT(t)
		expect.Expect(trace.Explain("a", read(expect), time.Hour)).To(gomega.BeEmpty())
	})
}
