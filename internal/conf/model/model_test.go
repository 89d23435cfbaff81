package model

import (
	"encoding/json"
	"flag"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed, so that the results are reproducible.
func TestMain(m *testing.M) {
	// Setting the flag can't fail: it exists and this value is valid.
	_ = flag.Set("rapid.seed", "7")
	m.Run()
}

func intent() Intent {
	return Intent{
		Organisations: []Organisation{{Name: "lothian", Rate: 5, Burst: 10}},
		Models:        []Model{{Name: "wording", Version: "1"}},
		Routes:        []Route{{Name: "chat", Model: "wording", Batch: true}},
		Targets:       []Target{{Name: "engine-a", Models: []string{"wording"}, Online: true}},
	}
}

func TestIntentBecomesRevision(t *testing.T) {
	expect := gomega.NewWithT(t)
	changes, faults := intent().Changes(Empty())
	expect.Expect(faults).To(gomega.BeEmpty())
	document, err := Empty().Apply(changes)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(document.Check()).To(gomega.BeEmpty())
	expect.Expect(document.Revision).To(gomega.Equal(uint64(1)))
	again, faults := intent().Changes(document)
	expect.Expect(faults).To(gomega.BeEmpty())
	expect.Expect(again).To(gomega.BeEmpty(), "an intent that matches the document changes nothing")
	route, ok := document.ModelRoute("wording")
	expect.Expect(ok).To(gomega.BeTrue())
	expect.Expect(route.Name).To(gomega.Equal("chat"))
}

func TestEveryFaultIsCollected(t *testing.T) {
	expect := gomega.NewWithT(t)
	bad := Intent{
		Organisations: []Organisation{{Name: "a b", Rate: -1, Burst: 0}},
		Routes:        []Route{{Name: "r", Model: "none", Open: true, Batch: true}},
		Keys:          []Key{{Name: "k", Organisation: "none", Digest: "zz"}},
	}
	changes, _ := bad.Changes(Empty())
	document, err := Empty().Apply(changes)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(document.Check()).To(gomega.HaveLen(7))
}

// TestRevisionsChain checks that nodes that apply the same changes have the same
// digest and revision, and that Apply does not modify its receiver.
func TestRevisionsChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := Empty(), Empty()
		for range rapid.IntRange(1, 10).Draw(t, "revisions") {
			name := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name")
			value := json.RawMessage(nil)
			if rapid.Bool().Draw(t, "set") {
				value = json.RawMessage(`{"Name":"` + name + `","Rate":1,"Burst":1}`)
			}
			changes := []Change{{Reference: Reference{KindOrganisation, name}, Value: value}}
			before, count := a.Digest, len(a.Organisations)
			next, err := a.Apply(changes)
			if err != nil {
				t.Fatal(err)
			}
			if a.Digest != before || len(a.Organisations) != count {
				t.Fatal("Apply changed the document it started from")
			}
			a = next
			if b, err = b.Apply(changes); err != nil {
				t.Fatal(err)
			}
			if a.Digest != b.Digest || a.Revision != b.Revision {
				t.Fatalf("revisions differ: %d %s and %d %s", a.Revision, a.Digest, b.Revision, b.Digest)
			}
		}
	})
}

func FuzzDecode(f *testing.F) {
	changes, _ := intent().Changes(Empty())
	document, err := Empty().Apply(changes)
	if err != nil {
		f.Fatal(err)
	}
	data, err := document.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		if decoded, err := Decode(data); err == nil {
			decoded.Check()
		}
	})
}
