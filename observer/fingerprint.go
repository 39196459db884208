package observer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Fingerprint identifies the content of a request, regardless of its sender.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a search on an index.
func FingerprintOf(index modeler.IndexName, body []byte) Fingerprint {
	d := newDigest(string(index))
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// FingerprintOfMessage returns the fingerprint of a request on a route to an index.
func FingerprintOfMessage(index modeler.IndexName, method, target string, body []byte) Fingerprint {
	d := newDigest(string(index))
	_, _ = d.WriteString(method)
	_, _ = d.WriteString(" ")
	_, _ = d.WriteString(target)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// newDigest returns a digest that begins with the index.
func newDigest(index string) *xxhash.Digest {
	d := &xxhash.Digest{}
	d.Reset()
	_, _ = d.WriteString(index)
	_, _ = d.Write([]byte{0})
	return d
}
