package certs

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
	clocks "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
)

// rawCertificate returns the current certificate in DER form.
func rawCertificate(bundle *Bundle) string {
	return string(bundle.ClientConfig().Certificates[0].Certificate[0])
}

func TestRenewedCertificateNeedsNoRestart(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock := clocks.NewFakeClock(time.Now())
	folder := t.TempDir()
	authority, err := NewAuthority(agatestage.SystemClock())
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(authority.Issue(folder, "entry-a", agatestage.RoleEntry)).To(gomega.Succeed())
	bundle, err := Open(folder, clock)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = bundle.Serve(ctx) }()
	before := rawCertificate(bundle)
	expect.Expect(authority.Issue(folder, "entry-a", agatestage.RoleEntry)).To(gomega.Succeed())
	expect.Eventually(func() string {
		clock.Step(reloadPeriod)
		return rawCertificate(bundle)
	}, 10*time.Second).ShouldNot(gomega.Equal(before))
}
