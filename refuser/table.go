package refuser

import (
	"net/http"
	"time"
)

const statusCallerGone = 499

var rows = []Row{
	{MalformedRequest, http.StatusBadRequest, Yes, false, 0, None},
	{BodyTooLarge, http.StatusRequestEntityTooLarge, Yes, false, 0, None},
	{BodyTimeout, http.StatusRequestTimeout, Yes, true, 0, None},
	{BadDeadline, http.StatusBadRequest, Yes, false, 0, None},
	{BadHeader, http.StatusBadRequest, Yes, false, 0, None},
	{UnknownPath, http.StatusNotFound, Yes, false, 0, None},
	{UnknownIndex, http.StatusNotFound, Yes, false, 0, None},
	{UnknownService, http.StatusNotFound, Yes, false, 0, None},
	{MethodNotAllowed, http.StatusMethodNotAllowed, Yes, false, 0, None},
	{Unauthorized, http.StatusUnauthorized, Yes, false, 0, None},
	{Unconfigured, http.StatusServiceUnavailable, Yes, true, time.Second, Lost},
	{Draining, http.StatusServiceUnavailable, Yes, true, time.Second, Lost},
	{Overloaded, http.StatusTooManyRequests, Yes, true, time.Second, Late},
	{NoSearcher, http.StatusServiceUnavailable, Yes, true, time.Second, Lost},
	{Unregistered, http.StatusServiceUnavailable, Yes, true, time.Second, Lost},
	{Quarantined, http.StatusUnprocessableEntity, Yes, false, 0, Lost},
	{CrashedSearchers, http.StatusUnprocessableEntity, No, false, 0, Lost},
	{UnknownRoute, http.StatusNotFound, Yes, false, 0, None},
	{HeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge, Yes, false, 0, None},
	{Withheld, http.StatusServiceUnavailable, Yes, false, 0, Lost},
	{Unserved, http.StatusBadGateway, Unknown, true, 0, Lost},
	{NoAnswer, http.StatusGatewayTimeout, Unknown, true, time.Second, Late},
	{CallerGone, statusCallerGone, Unknown, true, 0, Lost},
	{UnsupportedKey, http.StatusBadRequest, Yes, false, 0, Doubled},
	{BadTicket, http.StatusBadRequest, Yes, false, 0, Doubled},
	{TicketExpired, http.StatusGone, Yes, true, 0, Lost},
	{TicketMismatch, http.StatusConflict, Yes, false, 0, Doubled},
	{OrderRefused, http.StatusServiceUnavailable, Yes, true, time.Second, Lost},
	{OutcomeUnknown, http.StatusGatewayTimeout, Unknown, false, 0, Doubled},
	{Internal, http.StatusInternalServerError, Unknown, false, 0, Lost},
}

var table = func() map[Kind]Row {
	m := make(map[Kind]Row, len(rows))
	for _, r := range rows {
		m[r.Kind] = r
	}
	return m
}()

// Rows returns the whole table in its printed order.
func Rows() []Row { return append([]Row(nil), rows...) }

// Lookup returns the row of a kind; a kind that is not in the list is answered as Internal.
func Lookup(k Kind) Row {
	if r, ok := table[k]; ok {
		return r
	}
	return table[Internal]
}
