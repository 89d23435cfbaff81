package setup

import (
	"testing"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
)

// Guards against a process that doesn't start as the platform states its memory with a fraction.
func TestLimitsAreRead(t *testing.T) {
	for text, megabytes := range map[string]float64{"144": 144, "143.5": 143.5} {
		expect := gomega.NewWithT(t)
		settings, err := Parse("side.toml", []byte(sideSettings+"[Limits]\nMemoryMB = "+text+"\nMaxFDs = 256\n"), agatestage.RoleSide)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(settings.Limits).To(gomega.Equal(Limits{MemoryMB: megabytes, MaxFDs: 256}))
	}
}

func TestNegativeLimitsAreFaults(t *testing.T) {
	expect := gomega.NewWithT(t)
	_, err := Parse("side.toml", []byte(sideSettings+"[Limits]\nMemoryMB = -1\nMaxFDs = -1\nResultsWait = \"-1s\"\n"), agatestage.RoleSide)
	var faults Faults
	expect.Expect(errors.As(err, &faults)).To(gomega.BeTrue())
	expect.Expect(faults).To(gomega.HaveLen(3), faults.Error())
}

func TestSocketBytesOutOfRangeAreAFault(t *testing.T) {
	for _, size := range []string{"16", "2000000"} {
		expect := gomega.NewWithT(t)
		_, err := Parse("side.toml", []byte(sideSettings+"[Limits]\nSocketBytes = "+size+"\n"), agatestage.RoleSide)
		expect.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("Limits.SocketBytes")))
	}
}
