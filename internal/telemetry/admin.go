package telemetry

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// Admin is an HTTP server for health, readiness, metrics and status, on an address
// separate from that for callers.
type Admin struct {
	// Ready reports whether the process accepts new requests.
	Ready func() bool
	// Status returns the value that /status encodes as JSON.
	Status  func() any
	Metrics *Metrics
	// Listener is the socket on which Serve accepts connections.
	Listener net.Listener

	server *http.Server
}

// Serve starts to serve requests until Close. It returns immediately.
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
	a.server = &http.Server{Handler: mux, ReadTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second, MaxHeaderBytes: 16 << 10}
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

// ServeMetrics starts an Admin on an address and returns it. If the address cannot
// be used, it logs the error and the process runs without metrics.
func ServeMetrics(address string, ready func() bool, status func() any, m *Metrics) *Admin {
	a := &Admin{Ready: ready, Status: status, Metrics: m}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		For("metrics").With("address", address).Error(err, "metrics and status are not served")
		return a
	}
	a.Listener = listener
	a.Serve()
	return a
}
