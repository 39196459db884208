package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run in one play, in a file with one event a line.
type record struct {
	mu    sync.Mutex
	f     *os.File
	w     *bufio.Writer
	begin time.Time
	runs  map[string][]searcherRun // by request

	replies int // of all searchers
	copies  int // second copies of these
}

// copyShare bounds the replies of searchers that come twice: at most one in copyShare of all replies so far.
const copyShare = 25

// countReply counts a reply of a searcher.
func (r *record) countReply() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies++
}

// takeCopy takes a second copy within copyShare, and reports whether there was one left.
func (r *record) takeCopy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if (r.copies+1)*copyShare > r.replies {
		return false
	}
	r.copies++
	return true
}

// searcherRun is one run of a request at a searcher.
type searcherRun struct {
	searcher, service, target, body string
	at                              time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, w: bufio.NewWriter(f), begin: time.Now(), runs: map[string][]searcherRun{}}, nil
}

func (r *record) add(event, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f %s %s\n", time.Since(r.begin).Seconds(), event, fmt.Sprintf(format, args...))
}

// run records that a searcher began to run a request.
func (r *record) run(request, searcher, service, target string, body []byte) {
	r.mu.Lock()
	r.runs[request] = append(r.runs[request], searcherRun{searcher, service, target, string(body), time.Now()})
	r.mu.Unlock()
	r.add("run", "request=%s searcher=%s service=%s", request, searcher, service)
}

// runsOf returns the runs of a request.
func (r *record) runsOf(request string) []searcherRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]searcherRun(nil), r.runs[request]...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}
