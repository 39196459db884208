package server

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/pistachiogap/pistachiogap/scatterer"
)

// writeGathered answers with the best records of the shards' answers, if enough shards answered.
func (h *RouteHandler) writeGathered(w http.ResponseWriter, rr *routeRequest, res *scatterer.Result, out *RouteResult) error {
	if float64(len(res.ShardReplies)) < rr.route.LeastCoverage*float64(len(rr.route.Shards)) || len(res.ShardReplies) == 0 {
		return refusalWithoutAnswer(res, fmt.Sprintf("%d of %d shards answered", len(res.ShardReplies), len(rr.route.Shards)))
	}
	signatures := make([]string, len(res.ShardReplies))
	for i, p := range res.ShardReplies {
		signatures[i] = p.Reply.Signature
	}
	missing := len(rr.route.Shards) - len(res.ShardReplies)
	h.Dialect.SetGatheredHeaders(w.Header(), rr.info.ID, signatures, missing)
	out.Outcome = string(Complete)
	if missing > 0 {
		out.Outcome = string(Partial)
	}
	writeBody(w, http.StatusOK, h.Merge(res.ShardReplies, rr.route.Limit), out)
	return nil
}

// writeSingle passes on the searcher's answer or, without one, the last error response that a searcher sent.
func (h *RouteHandler) writeSingle(w http.ResponseWriter, rr *routeRequest, res *scatterer.Result, out *RouteResult) error {
	reply := res.Rejection
	out.Outcome = "failure-passed-on"
	if len(res.ShardReplies) > 0 {
		reply = &res.ShardReplies[0].Reply
		out.Outcome = string(Complete)
	}
	if reply == nil {
		return refusalWithoutAnswer(res, "no searcher answered")
	}
	h.Dialect.SetSingleHeaders(w.Header(), rr.info.ID, reply)
	writeBody(w, reply.Status, reply.Body, out)
	return nil
}

func writeBody(w http.ResponseWriter, status int, body []byte, out *RouteResult) {
	out.Status = status
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
