package whole

import (
	"fmt"
	"net/http"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
)

// chatOf returns a chat that begins like all others, goes on with a document and ends with a
// question of its own.
func chatOf(document string, number int) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":5,"messages":[{"role":"system","content":"rules"},{"role":"user","content":%q},{"role":"user","content":"question %d"}]}`,
		modelName, document, number)
}

var _ = ginkgo.Describe("a message that crashes targets, in chats of which no two are alike", func() {
	ginkgo.It("leaves targets to sound chats that have the other messages in common, at all entries", func() {
		rig := newRig()
		names := rig.startCrashingFleet()
		rig.waitReady("entry-b")
		const path = "/v1/chat/completions"
		for i, entry := range []string{"entry-a", "entry-b"} {
			status, _ := rig.call(entry, http.MethodPost, path, chatOf("sound", i))
			gomega.Expect(status).To(gomega.Equal(http.StatusOK))
		}
		var last string
		for i := range 30 {
			var status int
			status, last = rig.call([]string{"entry-a", "entry-b"}[i%2], http.MethodPost, path, chatOf("poison", i))
			gomega.Expect(status).NotTo(gomega.Equal(http.StatusOK))
		}
		expectRefusal(last, agatestage.CodeHarmful, agatestage.RanNo)
		gomega.Expect(rig.exitedCount(names)).To(gomega.BeNumerically("<=", 3))
		for i, entry := range []string{"entry-a", "entry-b"} {
			status, _ := rig.call(entry, http.MethodPost, path, chatOf("sound", 10+i))
			gomega.Expect(status).To(gomega.Equal(http.StatusOK))
		}
	})
})
