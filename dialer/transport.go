package dialer

import "net/http"

// StrictTransport is a transport that rejects answers in whose head the name of a field is not a token. net/http takes
// blanks in names.
type StrictTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper. A rejected answer costs the idle connections, among them its own.
func (t StrictTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	for name := range res.Header {
		if !isToken(name) {
			_ = res.Body.Close()
			t.CloseIdleConnections()
			return nil, newHeadError("field name is not a token", []byte(name))
		}
	}
	return res, nil
}
