package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rockcroft/rockcroft/transport/framing"
)

// maxResponseBytes is the maximum size of a response from the platform. A single value has at most
// one megabyte, but lists hold several values.
const maxResponseBytes = 64 << 20

// maxHeadBytes is the maximum size of the status line and the headers of a response.
const maxHeadBytes = 64 << 10

// Client is a Store that accesses the platform over HTTP.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// NewClient returns a client for the platform at addr, an IP address with a port. Each call times
// out after timeout, a Watch after its wait plus timeout.
func NewClient(addr string, timeout time.Duration) *Client {
	return &Client{
		base:    "http://" + addr,
		timeout: timeout,
		http:    &http.Client{Transport: framing.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4, MaxResponseHeaderBytes: maxHeadBytes})},
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var obj Object
	err := c.call(ctx, c.timeout, http.MethodGet, objectPath(kind, name), nil, nil, &obj)
	return obj, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind string) (Batch, error) {
	var b Batch
	err := c.call(ctx, c.timeout, http.MethodGet, "/objects/"+url.PathEscape(kind), nil, nil, &b)
	return b, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, obj Object, expect uint64) (uint64, error) {
	h := http.Header{}
	if expect == 0 {
		h.Set("If-None-Match", "*")
	} else {
		h.Set("If-Match", strconv.FormatUint(expect, 10))
	}
	var out Object
	err := c.call(ctx, c.timeout, http.MethodPut, objectPath(obj.Kind, obj.Name), h, obj.Value, &out)
	return out.Version, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (Batch, error) {
	q := url.Values{}
	q.Set("after", strconv.FormatUint(after, 10))
	q.Set("wait", wait.String())
	var b Batch
	err := c.call(ctx, wait+c.timeout, http.MethodGet, "/watch/"+url.PathEscape(kind)+"?"+q.Encode(), nil, nil, &b)
	return b, err
}

// VMs implements Store.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var out []VM
	err := c.call(ctx, c.timeout, http.MethodGet, "/vms", nil, nil, &out)
	return out, err
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, h http.Header, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("platform request: %w", err)
	}
	for name, values := range h {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("platform answer: %w", err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusTooManyRequests:
		return ErrRateLimited
	default:
		return fmt.Errorf("platform answered %d", resp.StatusCode)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("platform answer: %w", err)
	}
	return nil
}
