package callers

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/batch/heads"
	"github.com/agatestage/agatestage/internal/entry/jobs"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/tool/client"
)

const (
	// storeDelay makes a caller leave before the store has answered.
	storeDelay = 100 * time.Millisecond
	jobItems   = 3
)

// job holds the fields of a job, or of a file, that the tests check.
type job struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Counts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
	} `json:"request_counts"`
}

func items(tokens int) string {
	var lines strings.Builder
	for i := range jobItems {
		fmt.Fprintf(&lines, `{"custom_id":"item-%d","method":"POST","url":"/v1/completions","body":%s}`+"\n", i, completion(tokens, false))
	}
	return lines.String()
}

func creation(tokens int, lines string) request {
	return request{path: "/v1/batches", lines: "Content-Type: application/jsonl\r\n" + lines, body: items(tokens)}
}

func upload() request {
	body := "--part\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n" +
		"--part\r\nContent-Disposition: form-data; name=\"file\"; filename=\"items\"\r\n\r\n" + items(1) + "\r\n--part--\r\n"
	return request{path: "/v1/files", lines: "Content-Type: multipart/form-data; boundary=part\r\n", body: body}
}

func creationFrom(input string) request {
	return request{path: "/v1/batches", lines: "Content-Type: application/json\r\n", body: fmt.Sprintf(`{"input_file_id":%q}`, input)}
}

func get(path string) request { return request{method: http.MethodGet, path: path} }

// document returns the document in an answer, which must be whole.
func (conn *conn) document() (document job) {
	ginkgo.GinkgoHelper()
	status, body := conn.finish()
	gomega.Expect(status).To(gomega.Equal(http.StatusOK), body)
	gomega.Expect(json.Unmarshal([]byte(body), &document)).To(gomega.Succeed(), "%q", body)
	return document
}

func expectCompleted(entry, id string) {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func() []any {
		found := begin(entry, get("/v1/batches/"+id)).document()
		return []any{found.Status, found.Counts.Completed}
	}, patience, pollInterval).Should(gomega.Equal([]any{"completed", jobItems}))
}

// expectStarted waits until a job, the only one, has an owner that runs it and that all
// entries know.
func expectStarted(id string) {
	ginkgo.GinkgoHelper()
	gomega.Eventually(running, patience, pollInterval).Should(gomega.BeNumerically(">", 0))
	for _, entry := range []string{entryName, otherEntry, farEntry} {
		gomega.Eventually(func(expect gomega.Gomega) string {
			var summaries []jobs.Summary
			expect.Expect(client.New(fleet.AdminURL(entry), fleet.Operator.Secret).Call(context.Background(), http.MethodGet, "/jobs", nil, &summaries)).To(gomega.Succeed())
			for _, summary := range summaries {
				if "batch_"+summary.ID == id {
					return summary.Owner
				}
			}
			return ""
		}, patience, pollInterval).ShouldNot(gomega.BeEmpty())
	}
}

// submit sends a job on a connection that the caller of submit closes.
func submit(entry string) *conn {
	ginkgo.GinkgoHelper()
	conn := dial(entry)
	conn.send(creation(1, ""))
	return conn
}

// jobRecords returns the number of jobs in the store.
func jobRecords() int {
	ginkgo.GinkgoHelper()
	records, _, err := fleet.Store.List(context.Background(), "job/")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return len(records)
}

// slowStore delays the store's replies during a test.
func slowStore() {
	fleet.Store.SetFaults(store.Faults{Delay: storeDelay})
	ginkgo.DeferCleanup(func() { fleet.Store.SetFaults(store.Faults{}) })
}

var _ = ginkgo.Describe("for a caller that has closed its sending side", func() {
	ginkgo.BeforeEach(func() {
		gomega.Eventually(running, patience, pollInterval).Should(gomega.BeZero())
	})
	for name, lines := range map[string]string{"": "", " with a key": "Idempotency-Key: key\r\n"} {
		ginkgo.It("a job is accepted and done"+name, func() {
			slowStore()
			created := sendClosed(entryName, creation(1, lines)).document()
			gomega.Expect(created.Counts.Total).To(gomega.Equal(jobItems))
			fleet.Store.SetFaults(store.Faults{})
			expectCompleted(otherEntry, created.ID)
		})
	}
	ginkgo.It("an input is stored, and a job made of it, once", func() {
		slowStore()
		uploaded := sendClosed(entryName, upload()).document()
		created := sendClosed(entryName, creationFrom(uploaded.ID)).document()
		gomega.Expect(created.Counts.Total).To(gomega.Equal(jobItems))
		gomega.Expect(sendClosed(otherEntry, creationFrom(uploaded.ID)).document().ID).To(gomega.Equal(created.ID))
		fleet.Store.SetFaults(store.Faults{})
		expectCompleted(otherEntry, created.ID)
	})
	ginkgo.It("what a job has done so far is told as to others", func() {
		created := begin(entryName, creation(1, "")).document()
		for _, entry := range []string{entryName, otherEntry, farEntry} {
			expectCompleted(entry, created.ID)
		}
		file := strings.Replace(created.ID, "batch_", "file-", 1)
		for _, path := range []string{
			"/v1/batches/" + created.ID, "/v1/batches/" + created.ID + "/results",
			"/v1/files/" + file, "/v1/files/" + file + "/content", "/v1/files/" + file + "-output", "/v1/files/" + file + "-output/content",
		} {
			for _, entry := range []string{entryName, farEntry} {
				ginkgo.By(path + " at " + entry)
				expectedStatus, expected := begin(entry, get(path)).finish()
				gomega.Expect(expectedStatus).To(gomega.Equal(http.StatusOK), expected)
				for range leavers {
					status, body := sendClosed(entry, get(path)).finish()
					gomega.Expect([]any{status, body}).To(gomega.Equal([]any{expectedStatus, expected}))
				}
			}
		}
	})
	ginkgo.It("the jobs are listed", func() {
		created := begin(entryName, creation(1, "")).document()
		_, body := sendClosed(entryName, get("/v1/batches")).finish()
		gomega.Expect(body).To(gomega.ContainSubstring(created.ID))
		expectCompleted(otherEntry, created.ID)
	})
	for _, entry := range []string{entryName, otherEntry, farEntry} {
		ginkgo.It("a job is cancelled, at "+entry, func() {
			created := begin(entryName, creation(manyTokens, "")).document()
			expectStarted(created.ID)
			slowStore()
			gomega.Expect(sendClosed(entry, request{path: "/v1/batches/" + created.ID + "/cancel"}).document().Status).To(gomega.Equal("cancelled"))
		})
	}
	for name, whole := range map[string]request{"creation": creation(1, ""), "upload": upload()} {
		ginkgo.It("a job whose input is cut short is refused and leaves nothing, "+name, func() {
			before := jobRecords()
			conn := dial(entryName)
			ginkgo.DeferCleanup(func() { _ = conn.Close() })
			text := whole.String()
			_, err := io.WriteString(conn, text[:len(text)-len(whole.body)/2])
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			conn.closeWrite()
			conn.expectRefusal(agatestage.CodeBadRequest, agatestage.RanNo)
			gomega.Expect(jobRecords()).To(gomega.Equal(before))
		})
	}

	ginkgo.It("a cancellation that the store can't take yet is told as begun, at each entry", func() {
		entries := []string{entryName, otherEntry, farEntry}
		created := begin(entryName, creation(manyTokens, "")).document()
		expectStarted(created.ID)
		fleet.Store.SetFaults(store.Faults{Outage: true})
		ginkgo.DeferCleanup(func() {
			fleet.Store.SetFaults(store.Faults{})
			// The entries' leases end in an outage.
			for _, entry := range entries {
				var id string
				gomega.Eventually(func() int {
					conn := submit(entry)
					defer conn.Close()
					status, body := conn.finish()
					var accepted job
					gomega.Expect(json.Unmarshal([]byte(body), &accepted)).To(gomega.Succeed())
					id = accepted.ID
					return status
				}, patience, pollInterval).Should(gomega.Equal(http.StatusOK))
				gomega.Eventually(func() bool {
					found, err := fleet.Store.Get(context.Background(), "job/"+strings.TrimPrefix(id, "batch_"))
					return err == nil && strings.Contains(string(found.Value), string(heads.StateDone))
				}, patience, pollInterval).Should(gomega.BeTrue())
			}
		})
		var conns []*conn
		for _, entry := range entries {
			conns = append(conns, sendClosed(entry, request{path: "/v1/batches/" + created.ID + "/cancel"}))
		}
		for _, conn := range conns {
			gomega.Expect(conn.document().Status).To(gomega.Equal("cancelling"))
		}
	})
})
