package server

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/pistachiogap/pistachiogap/refuser"
)

// NewCallersHandler returns the handler of the callers' port. While the VM drains, every answer tells the caller to close its
// connection.
func NewCallersHandler(searches *SearchHandler, orders *OrderHandler, draining func() bool) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/search/{index}", Handle(searches.decode, searches.serve)).Methods(http.MethodPost)
	r.HandleFunc("/v1/order/{service}", orders.issue).Methods(http.MethodPost)
	r.HandleFunc("/v1/order/{service}/{ticket}", Handle(orders.decode, orders.serve)).Methods(http.MethodPost)
	refuseUnknownPaths(r)
	limited := limitBody(r)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if draining() {
			w.Header().Set("Connection", "close")
		}
		limited.ServeHTTP(w, r)
	})
}

// refuseUnknownPaths makes the router answer unknown paths and methods with refusals, in place of its plain errors.
func refuseUnknownPaths(r *mux.Router) {
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Refuse(w, r, refuser.New(refuser.UnknownPath, "there is nothing at this path"))
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Refuse(w, r, refuser.New(refuser.MethodNotAllowed, "method %s is not served here", r.Method))
	})
}
