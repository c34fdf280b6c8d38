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
	if a.Listener != nil {
		_ = a.Listener.Close()
	}
	if a.server != nil {
		_ = a.server.Close()
	}
}

// ServeMetrics answers on an address until Close. An address that is in use
// costs the metrics, not the process.
func ServeMetrics(address string, ready func() bool, status func() any, m *Metrics) *Admin {
	a := &Admin{Ready: ready, Status: status, Metrics: m}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		For("metrics").With("address", address).Error(err, "no metrics are served")
		return a
	}
	a.Listener = listener
	a.Serve()
	return a
}
