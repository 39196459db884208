package server

import (
	"net/http"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/refuser"
)

// HeadLimit bounds the request line and the headers of a request, and says how a larger head is refused.
type HeadLimit struct {
	Bytes int
	Kind  refuser.Kind
}

// FixedHeadLimit returns a limit that never changes.
func FixedHeadLimit(n int) func() HeadLimit {
	return func() HeadLimit { return HeadLimit{n, refuser.HeaderTooLarge} }
}

// HeadLimit returns the limit in force for the heads of requests. While no configuration is in force, a larger head says
// nothing of its request, which may come back.
func (h *RouteHandler) HeadLimit() HeadLimit {
	view := h.View()
	switch {
	case view == nil || !view.HasRoutes():
		return HeadLimit{MaxHeaderBytes, refuser.Unconfigured}
	case view.Limits == nil || view.Limits.HeaderBytes <= 0:
		return HeadLimit{RouteHeaderBytes, refuser.HeaderTooLarge}
	}
	return HeadLimit{view.Limits.HeaderBytes, refuser.HeaderTooLarge}
}

// checkHeaders refuses a request whose request line and headers together are larger than the limit.
func checkHeaders(w http.ResponseWriter, r *http.Request, limits *modeler.Limits) error {
	if limits == nil || limits.HeaderBytes <= 0 {
		return nil
	}
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerLineOverhead
		}
	}
	if n <= limits.HeaderBytes {
		return nil
	}
	w.Header().Set("Connection", "close")
	return refuser.New(refuser.HeaderTooLarge, "headers have %d bytes, at most %d are allowed", n, limits.HeaderBytes)
}

// headerLineOverhead is the least size of the colon and the line end of a header line. The blanks that callers may add are
// not known here.
const headerLineOverhead = 2
