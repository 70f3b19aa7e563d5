package backend

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// adminHandler serves GET /runs, GET /stats, GET /faults and POST /faults. The body of POST /faults is a JSON object
// with the faults to change; the others keep their values.
func (s *Server) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { s.writeJSON(w, s.Runs()) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { s.writeJSON(w, s.Stats()) })
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { s.writeJSON(w, s.Faults()) })
	mux.HandleFunc("POST /faults", s.changeFaults)
	return mux
}

func (s *Server) changeFaults(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, fmt.Sprintf("decode faults: %v", err), http.StatusBadRequest)
		return
	}
	if err := s.SetFaults(faults); err != nil {
		http.Error(w, fmt.Sprintf("set faults: %v", err), http.StatusBadRequest)
		return
	}
	s.logger.Info("faults changed", "faults", faults)
	s.writeJSON(w, faults)
}

func (s *Server) writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		s.logger.Warn("write admin response", "error", err)
	}
}
