package auditor

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Messages of the log lines that count.
const (
	extraMessage  = "attempt: extra"
	requestPrefix = "request: "
	droppedPrefix = "log: lines dropped"
)

// line is the part of a log line that counts.
type line struct {
	Time    time.Time           `json:"time"`
	Message string              `json:"msg"`
	ID      modeler.RequestID   `json:"id"`
	Route   modeler.RouteName   `json:"route"`
	Service modeler.ServiceName `json:"shard"` // the shard of a route has the name of its service
	Purpose string              `json:"purpose"`
	TookMS  int64               `json:"took-ms"`
	Dropped int                 `json:"count"` // of lines, in a line that reports dropped ones
}

// request is one request on a route.
type request struct {
	at    time.Time
	route modeler.RouteName
}

// extra is one attempt beyond the first of its shard.
type extra struct {
	at      time.Time
	vm      modeler.VMName
	id      modeler.RequestID
	purpose string
}

// Log holds the requests and the extra attempts that VMs have logged.
type Log struct {
	requests map[modeler.RequestID]request
	extras   map[modeler.ServiceName][]extra
	dropped  int
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{requests: map[modeler.RequestID]request{}, extras: map[modeler.ServiceName][]extra{}}
}

// Read adds the output of one VM. Lines that are not JSON are skipped; the error is that of the reader.
func (l *Log) Read(vm modeler.VMName, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		var x line
		if b := bytes.TrimSpace(s.Bytes()); len(b) == 0 || b[0] != '{' || json.Unmarshal(b, &x) != nil {
			continue
		}
		l.add(vm, &x)
	}
	return errors.Wrapf(s.Err(), "log of %s", vm)
}

// Dropped returns how many lines the VMs have dropped to bound their output. Extra attempts in them are not counted.
func (l *Log) Dropped() int { return l.dropped }

func (l *Log) add(vm modeler.VMName, x *line) {
	switch {
	case x.Message == extraMessage:
		l.extras[x.Service] = append(l.extras[x.Service], extra{x.Time, vm, x.ID, x.Purpose})
	case strings.HasPrefix(x.Message, droppedPrefix):
		l.dropped += x.Dropped
	case strings.HasPrefix(x.Message, requestPrefix):
		l.requests[x.ID] = request{x.Time.Add(-time.Duration(x.TookMS) * time.Millisecond), x.Route}
	}
}
