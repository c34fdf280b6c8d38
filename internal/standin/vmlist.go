package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// VM is one row of the VM list.
type VM struct {
	Name string `json:"name"`
	// Role is "entry" or "target".
	Role string `json:"role"`
	// Address is the IP address and port of the entry or target process on
	// the VM.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// State is "live" or "leaving". Set with "gone" removes the row.
	State string `json:"state"`
}

// VMList serves a list of VMs. Readers see each change after a configurable
// lag.
type VMList struct {
	mu  sync.Mutex
	lag time.Duration
	// current holds the rows as written, by VM name. visible is the copy that
	// readers receive.
	current map[string]VM
	visible []VM
}

// NewVMList returns an empty list whose readers see changes after lag.
func NewVMList(lag time.Duration) *VMList {
	return &VMList{lag: lag, current: make(map[string]VM)}
}

// Set writes a row; readers see it after the lag.
func (l *VMList) Set(vm VM) {
	l.mu.Lock()
	l.current[vm.Name] = vm
	lag := l.lag
	l.mu.Unlock()
	time.AfterFunc(lag, l.publish)
}

// SetLag sets the lag of the rows that are written from now on.
func (l *VMList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

func (l *VMList) publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]VM, 0, len(l.current))
	for _, vm := range l.current {
		if vm.State != "gone" {
			list = append(list, vm)
		}
	}
	slices.SortFunc(list, func(a, b VM) int { return strings.Compare(a.Name, b.Name) })
	l.visible = list
}

// Handler returns the HTTP interface: GET /v1/vms returns the visible rows, PUT
// /v1/vms writes one row, as the platform does, and POST /control?lag_ms=N sets
// the lag.
func (l *VMList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		list := slices.Clone(l.visible)
		l.mu.Unlock()
		writeJSON(w, http.StatusOK, list)
	})
	mux.HandleFunc("PUT /v1/vms", func(w http.ResponseWriter, r *http.Request) {
		var vm VM
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&vm); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(vm)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		l.SetLag(time.Duration(intParam(r, "lag_ms", 1000)) * time.Millisecond)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
