package front

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

func TestForwardedHeaderHoldsNoCredential(t *testing.T) {
	expect := gomega.NewWithT(t)
	header := http.Header{
		"Authorization": {"Bearer x"}, "X-Api-Key": {"x"}, "Cookie": {"x"}, "Connection": {"X-Hop"}, "X-Hop": {"x"}, "Accept": {"*/*"},
	}
	expect.Expect(forwardedHeader(header)).To(gomega.Equal(http.Header{"Accept": {"*/*"}}))
	expect.Expect(header).To(gomega.HaveLen(6), "the caller's header must not be modified")
}

func TestPrefixHashDependsOnOrganisation(t *testing.T) {
	expect := gomega.NewWithT(t)
	first, err := parsePrompt([]byte(`{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"}]}`))
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	second, err := parsePrompt([]byte(`{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"b"}]}`))
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(first.prefixHash("lothian")).To(gomega.Equal(second.prefixHash("lothian")))
	expect.Expect(first.prefixHash("lothian")).NotTo(gomega.Equal(first.prefixHash("crock")))
}

func FuzzPrompt(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"model":"m","prompt":["a","b"]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		prompt, err := parsePrompt(body)
		if err == nil && prompt.Model == "" {
			t.Fatal("accepted without a model")
		}
		prompt.prefixHash("lothian")
	})
}

func TestFieldsThatAnyConnectionLineNamesAreNotForwarded(t *testing.T) {
	expect := gomega.NewWithT(t)
	header := http.Header{"Connection": {"close, X-First", "X-Second"}, "X-First": {"1"}, "X-Second": {"2"}, "X-Kept": {"3"}}
	expect.Expect(forwardedHeader(header)).To(gomega.Equal(http.Header{"X-Kept": {"3"}}))
	expect.Expect(header).To(gomega.HaveLen(4))
}
