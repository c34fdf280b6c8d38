// Package trust implements mutual TLS between the system's own processes: it loads
// and reloads keys and certificates and verifies the certificates of peers.
//
// Every process has a certificate whose DNS name is its process name, signed by
// the certificate authority of the fleet (all processes of one installation). A
// Keys value is safe for concurrent use.
package trust

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/settings"
	"agatelanding.example/agatelanding/internal/telemetry"
)

// reloadInterval is the minimum time between two checks of the files for changes.
// Certificates are replaced hours before they expire.
const reloadInterval = time.Minute

// Settings names the key and certificate files of a process. All fields are empty
// for plain TCP.
type Settings struct {
	CertFile string `json:"cert_file,omitempty" doc:"Certificate of this process in PEM; its DNS name is the process name."`
	KeyFile  string `json:"key_file,omitempty" doc:"Private key in PEM."`
	CAFile   string `json:"ca_file,omitempty" doc:"Certificate authority of the fleet in PEM."`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() []settings.Fault {
	set := 0
	for _, f := range []string{s.CertFile, s.KeyFile, s.CAFile} {
		if f != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		return []settings.Fault{{Field: "cert_file", Reason: "cert_file, key_file and ca_file go together"}}
	}
	return nil
}

// Enabled reports whether key and certificate files are configured.
func (s *Settings) Enabled() bool { return s.CertFile != "" }

// Keys holds the key, the certificate and the trusted roots of a process. A nil
// *Keys means plain TCP.
type Keys struct {
	settings Settings

	mu    sync.Mutex
	cert  *tls.Certificate
	roots *x509.CertPool
	// checkedAt is the time of the last check of the files for changes.
	checkedAt time.Time
	// loadedModTime is the modification time of the files in use.
	loadedModTime time.Time
}

// Load reads the files that s names. It returns nil and no error if no files are
// configured.
func Load(s Settings) (*Keys, error) {
	if !s.Enabled() {
		return nil, nil
	}
	k := &Keys{settings: s}
	if err := k.readFiles(); err != nil {
		return nil, result.Wrap(result.SettingInvalid, err)
	}
	k.checkedAt = time.Now()
	k.loadedModTime = k.latestModTime()
	return k, nil
}

// readFiles reads all files and replaces the keys in use if all are valid.
func (k *Keys) readFiles() error {
	cert, err := tls.LoadX509KeyPair(k.settings.CertFile, k.settings.KeyFile)
	if err != nil {
		return err
	}
	pem, err := os.ReadFile(k.settings.CAFile)
	if err != nil {
		return err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return result.Newf(result.SettingInvalid, "%s contains no PEM certificate", k.settings.CAFile)
	}
	k.cert, k.roots = &cert, roots
	return nil
}

// latestModTime returns the latest modification time of the files.
func (k *Keys) latestModTime() time.Time {
	var latest time.Time
	for _, f := range []string{k.settings.CertFile, k.settings.KeyFile, k.settings.CAFile} {
		if info, err := os.Stat(f); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns the certificate and roots in use. It first reloads them if a
// file has changed; if that fails, the old ones stay in use.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := time.Now(); now.Sub(k.checkedAt) >= reloadInterval {
		k.checkedAt = now
		k.reloadIfChanged()
	}
	return k.cert, k.roots
}

// reloadIfChanged reloads the files if one was modified. k.mu must be held.
func (k *Keys) reloadIfChanged() {
	modTime := k.latestModTime()
	if !modTime.After(k.loadedModTime) {
		return
	}
	if err := k.readFiles(); err != nil {
		telemetry.For("trust").Error(err, "changed key files cannot be loaded; the old keys stay in use")
		return
	}
	k.loadedModTime = modTime
	telemetry.For("trust").Info("keys reloaded")
}

// config returns the TLS configuration for both ends of a connection.
func (k *Keys) config() *tls.Config {
	cert, roots := k.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, RootCAs: roots,
		ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

// Listener returns a TLS listener over l that requires and verifies a certificate
// of every peer. If k is nil, it returns l.
func (k *Keys) Listener(l net.Listener) net.Listener {
	if k == nil {
		return l
	}
	return tls.NewListener(l, &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return k.config(), nil },
	})
}

// Client returns a TLS connection over nc to the process with this name. The
// peer's certificate must be for the same name. If k is nil, it returns nc.
func (k *Keys) Client(nc net.Conn, name string) net.Conn {
	if k == nil {
		return nc
	}
	cfg := k.config()
	cfg.ServerName = name
	return tls.Client(nc, cfg)
}
