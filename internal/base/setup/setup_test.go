package setup

import (
	"testing"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
)

const sideSettings = `Name = "side-a"
Region = "east"
Zone = "east-1"
[Listen]
Peer = "127.0.0.1:7000"
Metrics = "127.0.0.1:7001"
[Trust]
Folder = "trust"
[[Targets]]
Name = "engine-a"
Kind = "Engine"
Address = "127.0.0.1:9000"
`

func TestValidSettingsHaveDefaults(t *testing.T) {
	expect := gomega.NewWithT(t)
	settings, err := Parse("side.toml", []byte(sideSettings), agatestage.RoleSide)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(settings.Targets[0].Slots).To(gomega.Equal(defaultSlots))
	expect.Expect(settings.Drain.Limit.Duration).To(gomega.Equal(defaultDrainLimit))
}

// TestEveryFaultIsReported checks that the faults of a file with a value of a wrong
// type, an unknown field and an invalid value are all reported.
func TestEveryFaultIsReported(t *testing.T) {
	expect := gomega.NewWithT(t)
	faulty := sideSettings + "Slots = \"many\"\nColour = \"red\"\nQueue = -1\n"
	_, err := Parse("side.toml", []byte(faulty), agatestage.RoleSide)
	var faults Faults
	expect.Expect(errors.As(err, &faults)).To(gomega.BeTrue())
	expect.Expect(faults).To(gomega.HaveLen(3), faults.Error())
	lines := []int{faults[0].Line, faults[1].Line, faults[2].Line}
	expect.Expect(lines).To(gomega.Equal([]int{13, 14, 15}))
	expect.Expect(faults[0].Field).To(gomega.ContainSubstring("Slots"))
	expect.Expect(faults[1].Field).To(gomega.ContainSubstring("Colour"))
	expect.Expect(faults[2].Field).To(gomega.Equal("Targets[0].Queue"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sideSettings))
	f.Add([]byte("[[Targets]]\nName = 1\n[Targets.x]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := Parse("fuzz.toml", data, agatestage.RoleSide); err != nil && err.Error() == "" {
			t.Fatal("error without a message")
		}
	})
}
