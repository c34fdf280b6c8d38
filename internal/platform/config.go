// Package platform holds the clients of what the platform gives: the
// configuration service, the VM list, model engines and plain services.
//
// All clients may be used by any goroutine. Calls end with the context; errors
// carry a result code.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"agatelanding.example/agatelanding/internal/result"
)

// maxValue is the largest value that the configuration service holds.
const maxValue = 1 << 20

// Config reads the configuration service.
type Config struct {
	base   string
	client *http.Client
}

// NewConfig returns a client of the service at a base URL.
func NewConfig(base string) *Config {
	return &Config{base: strings.TrimSuffix(base, "/"), client: &http.Client{}}
}

// Value is one value with the service's index of its last change.
type Value struct {
	Data  []byte
	Index uint64
}

// Get reads a value.
func (c *Config) Get(ctx context.Context, key string) (Value, error) {
	v, _, err := c.read(ctx, c.base+"/v1/values/"+key)
	return v, err
}

// Watch waits for a change of a value above index. changed is false if the
// wait ended without one.
func (c *Config) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (v Value, changed bool, err error) {
	return c.read(ctx, fmt.Sprintf("%s/v1/watch/%s?index=%d&wait_ms=%d", c.base, key, index, wait.Milliseconds()))
}

func (c *Config) read(ctx context.Context, url string) (Value, bool, error) {
	resp, err := get(ctx, c.client, url)
	if err != nil {
		return Value{}, false, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return Value{}, false, nil
	case http.StatusOK:
	default:
		return Value{}, false, result.Newf(result.PlatformUnreached, "%s answered %d", url, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxValue+1))
	if err != nil {
		return Value{}, false, result.Wrap(result.PlatformUnreached, err)
	}
	if len(data) > maxValue {
		return Value{}, false, result.Newf(result.ValueTooLarge, "%s is over %d bytes", url, maxValue)
	}
	index, _ := strconv.ParseUint(resp.Header.Get("X-Index"), 10, 64)
	return Value{Data: data, Index: index}, true, nil
}

func get(ctx context.Context, client *http.Client, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, result.Wrap(result.PlatformUnreached, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, result.Wrap(result.PlatformUnreached, err)
	}
	return resp, nil
}

// VM is one row of the VM list.
type VM struct {
	Name          string `json:"name"`
	Role          string `json:"role"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
}

// Roles and states of VMs.
const (
	VMEntry   = "entry"
	VMTarget  = "target"
	VMLeaving = "leaving"
)

// VMList reads the lagging list of VMs.
type VMList struct {
	base   string
	client *http.Client
}

// NewVMList returns a client of the list at a base URL.
func NewVMList(base string) *VMList {
	return &VMList{base: strings.TrimSuffix(base, "/"), client: &http.Client{}}
}

// maxVMList bounds the encoded list: some 2,000 VMs of 150 bytes.
const maxVMList = 4 << 20

// List returns the VMs.
func (l *VMList) List(ctx context.Context) ([]VM, error) {
	resp, err := get(ctx, l.client, l.base+"/v1/vms")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, result.Newf(result.PlatformUnreached, "VM list answered %d", resp.StatusCode)
	}
	var vms []VM
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxVMList)).Decode(&vms); err != nil {
		return nil, result.Wrap(result.PlatformUnreached, err)
	}
	return vms, nil
}
