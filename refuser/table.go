package refuser

import (
	"net/http"
	"time"
)

// statusClientClosedRequest is a common unofficial status for a caller that disconnected before the answer.
const statusClientClosedRequest = 499

var rows = []Row{
	{MalformedRequest, http.StatusBadRequest, Yes, false, 0, HarmNone},
	{BodyTooLarge, http.StatusRequestEntityTooLarge, Yes, false, 0, HarmNone},
	{BodyTimeout, http.StatusRequestTimeout, Yes, true, 0, HarmNone},
	{BadDeadline, http.StatusBadRequest, Yes, false, 0, HarmNone},
	{BadHeader, http.StatusBadRequest, Yes, false, 0, HarmNone},
	{UnknownPath, http.StatusNotFound, Yes, false, 0, HarmNone},
	{UnknownIndex, http.StatusNotFound, Yes, false, 0, HarmNone},
	{UnknownService, http.StatusNotFound, Yes, false, 0, HarmNone},
	{MethodNotAllowed, http.StatusMethodNotAllowed, Yes, false, 0, HarmNone},
	{Unauthorized, http.StatusUnauthorized, Yes, false, 0, HarmNone},
	{Unconfigured, http.StatusServiceUnavailable, Yes, true, time.Second, HarmLostAnswer},
	{Draining, http.StatusServiceUnavailable, Yes, true, time.Second, HarmLostAnswer},
	{Overloaded, http.StatusTooManyRequests, Yes, true, time.Second, HarmLateAnswer},
	{NoSearcher, http.StatusServiceUnavailable, Yes, true, time.Second, HarmLostAnswer},
	{Unregistered, http.StatusServiceUnavailable, Yes, true, time.Second, HarmLostAnswer},
	{Quarantined, http.StatusUnprocessableEntity, Yes, false, 0, HarmLostAnswer},
	{CrashedSearchers, http.StatusUnprocessableEntity, No, false, 0, HarmLostAnswer},
	{UnknownRoute, http.StatusNotFound, Yes, false, 0, HarmNone},
	{HeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge, Yes, false, 0, HarmNone},
	{Withheld, http.StatusServiceUnavailable, Yes, true, 10 * time.Minute, HarmLostAnswer},
	{Unserved, http.StatusBadGateway, Unknown, true, 0, HarmLostAnswer},
	{NoAnswer, http.StatusGatewayTimeout, Unknown, true, time.Second, HarmLateAnswer},
	{CallerGone, statusClientClosedRequest, Unknown, true, 0, HarmLostAnswer},
	{UnsupportedKey, http.StatusBadRequest, Yes, false, 0, HarmDoubledRequest},
	{BadTicket, http.StatusBadRequest, Yes, false, 0, HarmDoubledRequest},
	{TicketExpired, http.StatusGone, Yes, true, 0, HarmLostAnswer},
	{TicketMismatch, http.StatusConflict, Yes, false, 0, HarmDoubledRequest},
	{OrderRefused, http.StatusServiceUnavailable, Yes, true, time.Second, HarmLostAnswer},
	{OutcomeUnknown, http.StatusGatewayTimeout, Unknown, false, 0, HarmDoubledRequest},
	{Internal, http.StatusInternalServerError, Unknown, false, 0, HarmLostAnswer},
}

var rowsByKind = func() map[Kind]Row {
	m := make(map[Kind]Row, len(rows))
	for _, r := range rows {
		m[r.Kind] = r
	}
	return m
}()

// Rows returns the whole table in the order in which it is printed.
func Rows() []Row { return append([]Row(nil), rows...) }

// Lookup returns the row of a kind. A kind that is not in the list gets the row of Internal.
func Lookup(k Kind) Row {
	if r, ok := rowsByKind[k]; ok {
		return r
	}
	return rowsByKind[Internal]
}
