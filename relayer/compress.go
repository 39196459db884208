package relayer

import (
	"compress/gzip"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// minCompressBytes is the size from which compressing an answer is worth the CPU time.
const minCompressBytes = 4 << 10

var gzipWriters = sync.Pool{New: func() any {
	z, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	return z
}}

// compressor is a response writer that compresses large answers.
type compressor struct {
	http.ResponseWriter
	z *gzip.Writer // nil if the answer is not compressed
}

// WriteHeader decides whether to compress by the Content-Length that the handler has set.
func (c *compressor) WriteHeader(status int) {
	h := c.Header()
	if n, err := strconv.Atoi(h.Get("Content-Length")); err == nil && n >= minCompressBytes && status == http.StatusOK {
		h.Del("Content-Length")
		h.Set("Content-Encoding", "gzip")
		c.z = gzipWriters.Get().(*gzip.Writer)
		c.z.Reset(c.ResponseWriter)
	}
	c.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
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
	gzipWriters.Put(c.z)
}

// CompressLarge compresses large answers for callers that accept gzip.
func CompressLarge(next http.Handler) http.Handler {
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
