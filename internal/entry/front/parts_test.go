package front

import (
	"testing"

	"github.com/onsi/gomega"
)

func TestPartsOfAChatAreItsMessagesButTheLast(t *testing.T) {
	expect := gomega.NewWithT(t)
	parts := func(body string) (fingerprints []uint64) {
		prompt, err := parsePrompt([]byte(body))
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		for _, part := range prompt.parts() {
			fingerprints = append(fingerprints, part.Fingerprint)
		}
		return fingerprints
	}
	chat := parts(`{"model":"m","messages":[{"role":"system","content":"a"},{"role":"user","content":"b"},{"role":"user","content":"c"}]}`)
	expect.Expect(chat).To(gomega.HaveLen(2))
	expect.Expect(parts(`{"model":"m","messages":[{ "role":"system", "content":"a" },{"role":"user","content":"d"}]}`)).To(gomega.Equal(chat[:1]))
	expect.Expect(parts(`{"model":"m","messages":[{"role":"user","content":"c"}]}`)).To(gomega.BeEmpty())
	expect.Expect(parts(`{"model":"m","messages":[]}`)).To(gomega.BeEmpty())
	expect.Expect(parts(`{"model":"m","messages":"odd"}`)).To(gomega.BeEmpty())
	expect.Expect(parts(`{"model":"m","prompt":"a text"}`)).To(gomega.BeEmpty())
}
