package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The numbers of the case.
const (
	// A job has four items with large bodies, 3.7 MB in all as they are sent, of at most 4 MB. Each
	// takes an engine twelve seconds.
	bodyItems, bodyBytes, bodyEvents, bodyPauseUS = 4, 690_000, 371, 32_000
	// bodyJobs is how many jobs are sent, as far as they are accepted.
	bodyJobs, bodyEngines = 32, 2
	// slowReaders is how many clients read bodies at each gateway.
	slowReaders = 1000
	bodyLook    = 88 * time.Second
	// A slow client reads so much at a time, at such a period. Its segments are those of an Ethernet
	// line, and its buffer is small.
	slowBytes, slowPeriod  = 2048, 500 * time.Millisecond
	slowSegment, slowQueue = 1400, 4096
)

// bodies has many clients read the bodies of items that aren't listed yet, slowly.
func bodies(run *trial) (broken bool, err error) {
	if err = run.deploy(bodyEngines, 2); err != nil {
		return false, err
	}
	var jobs []job
	for n := range bodyJobs {
		job := job{id: run.id()}
		for range bodyItems {
			job.items = append(job.items, item{id: run.id(), work: work{Events: bodyEvents, Bytes: 20, PauseUS: bodyPauseUS}, padding: bodyBytes})
		}
		at := []*machine{run.fleet.machines[n%2], run.fleet.machines[1-n%2]}
		if run.client.submit(job, at, time.Second) {
			jobs = append(jobs, job)
		}
	}
	run.record.log("client: %d jobs are accepted", len(jobs))
	if len(jobs) < bodyJobs/2 {
		return false, errNotAccepted
	}
	ctx, cancel := context.WithTimeout(context.Background(), bodyLook)
	defer cancel()
	var counts, plain tally
	go run.client.callers(ctx, run.fleet.machines, 20, &plain)
	var all sync.WaitGroup
	for _, at := range run.fleet.machines {
		for n := range slowReaders {
			all.Go(func() {
				time.Sleep(time.Duration(n) * 4 * time.Millisecond)
				for turn := n; ctx.Err() == nil; turn += 7 {
					job := jobs[turn%len(jobs)]
					counts.add(run.readSlowly(ctx, at, job, job.items[turn/len(jobs)%bodyItems]))
					time.Sleep(time.Second)
				}
			})
		}
	}
	all.Wait()
	run.record.log("client: statuses of reads of bodies (0: no whole answer, or the time was over): %v", &counts)
	run.record.log("callers: statuses of plain requests: %v", &plain)
	_, often := run.ends()
	return often >= 2, nil
}

// readSlowly reads the body of an item, slowly if there is trouble.
func (run *trial) readSlowly(ctx context.Context, at *machine, job job, item item) (status int) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if !run.trouble {
			return nil
		}
		controlErr := raw.Control(func(fd uintptr) {
			if err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, slowSegment); err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowQueue)
			}
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	conn, err := dialer.DialContext(ctx, "tcp4", at.callers)
	if err != nil {
		return 0
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if _, err = fmt.Fprintf(conn, "GET %s%s?id=%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", run.names.Items, job.id, item.id, caseHost, run.names.Key, caseKey); err != nil {
		return 0
	}
	reader := bufio.NewReaderSize(conn, slowBytes)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return response.StatusCode
	}
	var text strings.Builder
	for buffer := make([]byte, slowBytes); ; {
		n, err := response.Body.Read(buffer)
		text.Write(buffer[:n])
		if err == io.EOF {
			break
		}
		if err != nil {
			return 0
		}
		if run.trouble {
			time.Sleep(slowPeriod)
		}
	}
	if text.String() != string(item.body()) {
		run.record.log("client: the body of item %s is another one", item.id)
	}
	return response.StatusCode
}
