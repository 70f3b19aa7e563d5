// Package jsonhttp writes and reads JSON over HTTP for the admin interfaces of the stand-ins.
package jsonhttp

import (
	"encoding/json"
	"net/http"
)

// Write sends a value as JSON.
func Write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller is gone.
	_ = json.NewEncoder(w).Encode(value)
}

// Take decodes the body of a request, passes the value to apply and sends it back. The name says in errors what the
// value is.
func Take[T any](w http.ResponseWriter, r *http.Request, name string, apply func(T)) {
	var value T
	if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
		http.Error(w, name+": "+err.Error(), http.StatusBadRequest)
		return
	}
	apply(value)
	Write(w, value)
}
