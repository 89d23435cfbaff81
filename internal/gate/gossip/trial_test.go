package gossip_test

import (
	"context"
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/gate/gossip"
	"github.com/agatestage/agatestage/internal/route/blame"
	"github.com/agatestage/agatestage/internal/trust/certs"
)

var _ = ginkgo.Describe("the trial of a request", func() {
	ginkgo.It("is permitted to one gateway, whichever asks", func() {
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		authority, err := certs.NewAuthority(agatestage.SystemClock())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		fakeStore := store.New(agatestage.SystemClock())
		var meshes []*gossip.Mesh
		for i := range 3 {
			mesh, _ := start(ctx, authority, fakeStore, fmt.Sprint("gateway-", i))
			meshes = append(meshes, mesh)
		}
		for _, mesh := range meshes {
			gomega.Eventually(func() int { return len(mesh.Alive()) }, waitTimeout).Should(gomega.Equal(len(meshes)))
		}
		for fingerprint := range uint64(20) {
			permitted := 0
			for i := range meshes {
				if meshes[(int(fingerprint)+i)%len(meshes)].PermitTrial(ctx, blame.Inquiry{Fingerprint: fingerprint + 1}) {
					permitted++
				}
			}
			gomega.Expect(permitted).To(gomega.Equal(1))
		}
	})
})
