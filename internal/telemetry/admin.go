package telemetry

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// Admin serves health, readiness, metrics and status on their own address.
type Admin struct {
	// Ready reports whether the process takes new work.
	Ready func() bool
	// Status returns what /status shows as JSON.
	Status  func() any
	Metrics *Metrics
	// Listener is the socket to answer on.
	Listener net.Listener

	server *http.Server
}

// Serve answers until Close. It returns at once.
func (a *Admin) Serve() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) {})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, r *http.Request) {
		if !a.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_ = a.Metrics.WriteText(w)
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(a.Status())
	})
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second}
	go func() { _ = a.server.Serve(a.Listener) }()
}

// Close stops the server.
func (a *Admin) Close() {
	_ = a.Listener.Close()
	if a.server != nil {
		_ = a.server.Close()
	}
}
