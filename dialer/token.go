package dialer

// tokenBytes holds true for each byte that a token may have (RFC 9110, section 5.6.2).
var tokenBytes = func() (t [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		t[b] = true
	}
	return t
}()

// isToken reports whether the text is a token, as the names of header fields are.
func isToken[T string | []byte](text T) bool {
	for i := range len(text) {
		if !tokenBytes[text[i]] {
			return false
		}
	}
	return len(text) > 0
}
