package relayer

import (
	"compress/gzip"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// minCompressed is the size of an answer, in bytes, from which compressing it is worth the processor time.
const minCompressed = 4 << 10

var compressors = sync.Pool{New: func() any {
	z, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	return z
}}

// compressor is an answer that is compressed if it is large.
type compressor struct {
	http.ResponseWriter
	z *gzip.Writer
}

// WriteHeader decides by the length that the handler has set.
func (c *compressor) WriteHeader(status int) {
	h := c.Header()
	if n, err := strconv.Atoi(h.Get("Content-Length")); err == nil && n >= minCompressed && status == http.StatusOK {
		h.Del("Content-Length")
		h.Set("Content-Encoding", "gzip")
		c.z = compressors.Get().(*gzip.Writer)
		c.z.Reset(c.ResponseWriter)
	}
	c.ResponseWriter.WriteHeader(status)
}

// Write adds to the answer.
func (c *compressor) Write(b []byte) (int, error) {
	if c.z == nil {
		return c.ResponseWriter.Write(b)
	}
	return c.z.Write(b)
}

func (c *compressor) close() {
	if c.z == nil {
		return
	}
	_ = c.z.Close()
	compressors.Put(c.z)
}

// Compressed compresses large answers for callers that accept it.
func Compressed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			next.ServeHTTP(w, r)
			return
		}
		c := &compressor{ResponseWriter: w}
		defer c.close()
		next.ServeHTTP(c, r)
	})
}
