package dialer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pistachiogap/pistachiogap/gatherer"
)

// checkMalformedAnswer checks that an answer to a call, or to a ping, is not used and costs its connection, whether the
// searcher keeps the connection open or closes it.
func checkMalformedAnswer(t *testing.T, answer string) {
	t.Helper()
	checkMalformed(t, answer, false)
	checkMalformed(t, answer, true)
}

func checkMalformed(t *testing.T, answer string, closes bool) {
	t.Helper()
	s := startSearcher(t, func(c net.Conn, _ int64) bool {
		_, err := io.WriteString(c, answer)
		return err == nil && !closes
	})
	d := newTestDialer(t, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r := d.Do(ctx, call(s))
	if ctx.Err() != nil {
		t.Fatalf("answer %q: more bytes were waited for", answer)
	}
	if r.Fault != gatherer.FaultCorrupt || r.Err == nil {
		t.Errorf("answer %q, closed %t: fault %s with error %v, want corrupt with the cause", answer, closes, r.Fault, r.Err)
	}
	if r.Body != nil || r.Draining || r.Held != nil || r.RetryAfter > 0 {
		t.Errorf("answer %q: something of it is used: %+v", answer, r)
	}
	if _, err := d.Ping(ctx, s.addr, time.Minute); err == nil {
		t.Errorf("answer %q: counts as one of the load endpoint", answer)
	}
	if open, _ := d.ConnectionCounts(); open != 0 {
		t.Errorf("answer %q: %d connections are kept, want 0", answer, open)
	}
}

// loadBody is what the load endpoint may answer. A call may be answered with it too.
const loadBody = `{"in-flight":0,"slots":1,"draining":false,"snapshots-held":{}}`

// framedLoad is the end of a head that gives the length of loadBody, and the body.
var framedLoad = fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(loadBody), loadBody)

// Guards against answers whose status is none that an answer can have: the library reads 000 as 200.
func TestAnswersWithoutAFinalStatusAreCorrupt(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "20", "2000", "+20", "2x0", "", "\x00\x00\x00"} {
		checkMalformedAnswer(t, "HTTP/1.1 "+status+" X\r\n"+framedLoad)
		checkMalformedAnswer(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+" X\r\n"+framedLoad)
	}
	checkMalformedAnswer(t, "\r\nHTTP/1.1 000 X\r\n"+framedLoad)
	checkMalformedAnswer(t, "HTTP/1.1 000\r\n"+framedLoad)
}

// Answers of unusual but sound forms must stay usable.
func TestUnusualAnswersAreRead(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200\r\n", "HTTP/1.1 200 \r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200 \xfc\tok\r\n", "\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nX-Note:\r\nx!#$%&'*+-.^_`|~9: \xfc\t: b \r\n",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 199 X\r\n\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		s := startSearcher(t, func(c net.Conn, _ int64) bool {
			for i := range head { // one byte a segment
				_, _ = io.WriteString(c, head[i:i+1])
			}
			_, err := io.WriteString(c, framedLoad)
			return err == nil
		})
		d := newTestDialer(t, 1)
		if r := d.Do(t.Context(), call(s)); r.Fault != gatherer.FaultNone || string(r.Body) != loadBody {
			t.Errorf("head %q: fault %s (%v) with body %q, want none", head, r.Fault, r.Err, r.Body)
		}
		if _, err := d.Ping(t.Context(), s.addr, time.Minute); err != nil {
			t.Errorf("head %q: ping failed: %v", head, err)
		}
	}
}

// readBoth reads the same bytes with the library alone and with readAnswer.
func readBoth(t *testing.T, answer string, skipBody bool) (want, got string) {
	t.Helper()
	read := func(f func(r *bufio.Reader, res *fasthttp.Response) error) string {
		r, res := bufio.NewReaderSize(strings.NewReader(answer), readBufferSize), &fasthttp.Response{SkipBody: skipBody}
		if err := f(r, res); err != nil {
			return "error"
		}
		var fields []string
		for name, value := range res.Header.All() {
			fields = append(fields, string(name)+": "+string(value))
		}
		return fmt.Sprintf("status %d, body %q, %d bytes left, close %t, length %d, fields %q", res.StatusCode(), res.Body(), r.Buffered(),
			res.ConnectionClose(), res.Header.ContentLength(), fields)
	}
	want = read(func(r *bufio.Reader, res *fasthttp.Response) error { return res.ReadLimitBody(r, MaxPartBytes) })
	got = read(func(r *bufio.Reader, res *fasthttp.Response) error { return readAnswer(r, res, MaxPartBytes, nil) })
	return want, got
}

// Sound answers, and answers that end early, must be read as the library reads them.
func TestAnswersAreReadAsByTheLibrary(t *testing.T) {
	heads := []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 204 No Content\r\n", "HTTP/1.1 304 Not Modified\r\n", "HTTP/1.1 600 X\r\n"}
	bodies := []string{
		"\r\n", "\r\nok", "Content-Length: 0\r\n\r\n", "Content-Length: 2\r\n\r\nok", "Content-Length: 2\r\nConnection: close\r\n\r\nokmore",
		"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nmore", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Note: a\r\nY: c\r\n\r\nmore", "Transfer-Encoding: gzip\r\n\r\nok",
		"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "Content-Length: 2\r\nContent-Length: 3\r\n\r\nokk",
		"Content-Length: 999999999\r\n\r\nok",
	}
	for _, head := range heads {
		for _, body := range bodies {
			whole := head + "X-Note: a\r\n" + body
			for n := range len(whole) + 1 {
				for _, skipBody := range []bool{false, true} {
					if want, got := readBoth(t, whole[:n], skipBody); got != want {
						t.Errorf("%q, body skipped %t: read as %s; want %s", whole[:n], skipBody, got, want)
					}
				}
			}
		}
	}
}

// Whatever readAnswer takes for an answer must be one for the library too, and the same.
func FuzzAnswersAreReadAsByTheLibrary(f *testing.F) {
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("\r\nHTTP/1.1 200\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Note: a\r\n\r\nmore"))
	f.Add([]byte(" 100 \r\n\r\nHTTP/1.1 200 OK\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 103 X\r\nX-Note: a\x00b\r\n\r\nHTTP/1.1 200 OK\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 000 X\r\nX Note: b\r\nX-Note : b\r\n X: y\r\n\r\nok"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		if want, got := readBoth(t, string(answer), false); got != "error" && got != want {
			t.Errorf("read as %s; the library reads %s", got, want)
		}
	})
}

// BenchmarkReadAnswer reads one answer after the other with the library alone and with the checks of readAnswer.
func BenchmarkReadAnswer(b *testing.B) {
	const fields = "HTTP/1.1 200 OK\r\nDate: Sun, 06 Dec 2026 00:00:00 GMT\r\nAttempt-Id: 9c41d07be2a35f68.0\r\n" +
		"Content-Check: 0123456789abcdef\r\nKeep-Alive: timeout=5\r\n"
	record := strings.Repeat("x", 400)
	answers := map[string]string{
		"length":  fields + "Content-Length: 400\r\n\r\n" + record,
		"chunked": fields + "Transfer-Encoding: chunked\r\n\r\n190\r\n" + record + "\r\n0\r\n\r\n",
	}
	readers := map[string]func(r *bufio.Reader, res *fasthttp.Response) error{
		"library": func(r *bufio.Reader, res *fasthttp.Response) error { return res.ReadLimitBody(r, MaxPartBytes) },
		"checked": func(r *bufio.Reader, res *fasthttp.Response) error { return readAnswer(r, res, MaxPartBytes, nil) },
	}
	for _, framing := range []string{"length", "chunked"} {
		for _, reader := range []string{"library", "checked"} {
			b.Run(framing+"/"+reader, func(b *testing.B) {
				b.ReportAllocs()
				source := strings.NewReader("")
				r := bufio.NewReaderSize(source, readBufferSize)
				for b.Loop() {
					source.Reset(answers[framing])
					r.Reset(source)
					res := fasthttp.AcquireResponse()
					if err := readers[reader](r, res); err != nil {
						b.Fatal(err)
					}
					fasthttp.ReleaseResponse(res)
				}
			})
		}
	}
}

// Guards against informational answers without end, which would keep a connection and a processor busy to the deadline.
func TestInformationalAnswersAreBounded(t *testing.T) {
	const informational, answer = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for n, want := range map[int]bool{0: true, 1: true, maxInformational: true, maxInformational + 1: false} {
		_, got := readBoth(t, strings.Repeat(informational, n)+answer, false)
		if read := got != "error"; read != want {
			t.Errorf("answer after %d informational ones: read %t, want %t", n, read, want)
		}
	}
}

// Guards against logs that name bytes of another exchange as the cause: buffers of readers are used again.
func TestErrorOfAMalformedHeadKeepsItsLine(t *testing.T) {
	for _, answer := range []string{"HTTP/1.1 000 X\r\n" + framedLoad, "HTTP/1.1 200 X\r\nX Note: b\r\n" + framedLoad} {
		r := bufio.NewReaderSize(strings.NewReader(answer), readBufferSize)
		err := readAnswer(r, &fasthttp.Response{}, MaxPartBytes, nil)
		if err == nil {
			t.Fatalf("answer %q was read without an error", answer)
		}
		before := err.Error()
		r.Reset(strings.NewReader(strings.Repeat("y", len(answer))))
		_, _ = r.Peek(1)
		if after := err.Error(); after != before {
			t.Errorf("the error %q became %q when the buffer was used again", before, after)
		}
	}
}

// malformedLines are header lines whose field name has a blank or a control byte, or is empty.
var malformedLines = []string{
	"X Note: b", "X-Note : b", " X-Note: b", "\tX-Note: b", "X-Note\t: b", "X\tNote: b", " : b", ": b", "X Note : b", "Attempt-Id : r.0", "Draining : true",
	"Content-Length : 3", "Transfer-Encoding : chunked", "Connection : close", "X-Note: a\nX Note: b", "X-Note: a\n\nX-Note: b",
	"X\x00Note: b", "X\x01Note: b", "X\x1fNote: b", "X\x7fNote: b", "X\rNote: b", "X-Note\r: b", "\x00: b", "nothing",
}

// Guards against answers in whose head a field name is no token: such a line may give another body, attempt or refusal
// than the searcher meant, and proves that bytes are broken.
func TestAnswersWithAMalformedFieldNameAreCorrupt(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nAttempt-Id: r.0\r\nDraining: true\r\nRetry-After: 9\r\nSnapshots-Held: 7\r\n"
	const framedRefusal = "Content-Length: 19\r\n\r\n" + `{"kind":"draining"}`
	const chunks = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"
	for _, line := range malformedLines {
		checkMalformedAnswer(t, "HTTP/1.1 200 X\r\n"+line+"\r\n"+framedLoad)
		checkMalformedAnswer(t, "HTTP/1.1 200 X\r\nX-Note: a\r\n"+line+"\r\n"+framedLoad)
		checkMalformedAnswer(t, refusal+line+"\r\n"+framedRefusal)
		checkMalformedAnswer(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\nHTTP/1.1 200 X\r\n"+framedLoad)
		checkMalformedAnswer(t, chunks+line+"\r\n\r\n")
		checkMalformedAnswer(t, chunks+"X-Note: a\r\n"+line+"\r\n\r\n")
	}
}
