// Package clients holds HTTP clients of the configuration service, the VM list,
// model engines and plain services.
//
// All clients are safe for concurrent use. A call ends when its context is done.
// Errors carry a result code.
//
// Packages entry and target use these clients. The commands of agate-entry and
// agate-target for the users' platform use package platform at the root of the
// module instead, which implements that platform's protocol.
package clients

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

// maxValueBytes is the size of the largest value that the configuration service
// holds.
const maxValueBytes = 1 << 20

// ConfigClient is a client that reads values from the configuration service.
type ConfigClient struct {
	base   string
	client *http.Client
}

// NewConfigClient returns a client of the configuration service at a base URL.
func NewConfigClient(base string) *ConfigClient {
	return &ConfigClient{base: strings.TrimSuffix(base, "/"), client: newClient()}
}

// Value is a value of the configuration service. Index is the service's change
// index at the value's last change.
type Value struct {
	Data  []byte
	Index uint64
}

// Get reads the value of a key.
func (c *ConfigClient) Get(ctx context.Context, key string) (Value, error) {
	v, _, err := c.read(ctx, c.base+"/v1/values/"+key)
	return v, err
}

// Watch waits up to the wait time for a value with a change index above index.
// changed is false if there was none in this time.
func (c *ConfigClient) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (v Value, changed bool, err error) {
	return c.read(ctx, fmt.Sprintf("%s/v1/watch/%s?index=%d&wait_ms=%d", c.base, key, index, wait.Milliseconds()))
}

func (c *ConfigClient) read(ctx context.Context, url string) (Value, bool, error) {
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
		return Value{}, false, result.Newf(result.PlatformUnreached, "%s returned status %d", url, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxValueBytes+1))
	if err != nil {
		return Value{}, false, result.Wrap(result.PlatformUnreached, err)
	}
	if len(data) > maxValueBytes {
		return Value{}, false, result.Newf(result.ValueTooLarge, "%s is larger than %d bytes", url, maxValueBytes)
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

// Roles of VMs (VMEntry, VMTarget) and the state of a VM that is stopping
// (VMLeaving).
const (
	VMEntry   = "entry"
	VMTarget  = "target"
	VMLeaving = "leaving"
)

// VMList is a client of the list of VMs. The list lags behind the VMs' actual
// state.
type VMList struct {
	base   string
	client *http.Client
}

// NewVMList returns a client of the VM list at a base URL.
func NewVMList(base string) *VMList {
	return &VMList{base: strings.TrimSuffix(base, "/"), client: newClient()}
}

// maxVMListBytes bounds the encoded list. 2,000 VMs of 150 bytes each take
// 300 kB.
const maxVMListBytes = 4 << 20

// List returns all VMs of the list.
func (l *VMList) List(ctx context.Context) ([]VM, error) {
	resp, err := get(ctx, l.client, l.base+"/v1/vms")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, result.Newf(result.PlatformUnreached, "VM list returned status %d", resp.StatusCode)
	}
	var vms []VM
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxVMListBytes)).Decode(&vms); err != nil {
		return nil, result.Wrap(result.PlatformUnreached, err)
	}
	return vms, nil
}
