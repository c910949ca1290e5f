package rockload

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rockcroft/rockcroft/bench/deploy"
	"github.com/rockcroft/rockcroft/protocol/operatorpb"
	"github.com/rockcroft/rockcroft/standin/platform"
	"github.com/rockcroft/rockcroft/standin/upstream"
	"github.com/rockcroft/rockcroft/state/intent"
)

// pollInterval is the interval at which await checks its condition.
const pollInterval = 50 * time.Millisecond

// cluster gives access to a running deployment.
type cluster struct {
	dir        string
	deployment deploy.AddressMap
	http       *http.Client
}

func openCluster(dir string) (*cluster, error) {
	m, err := deploy.Load(dir)
	if err != nil {
		return nil, err
	}
	return &cluster{dir: dir, deployment: m, http: &http.Client{Timeout: 3 * time.Second}}, nil
}

func (c *cluster) operator(entry int) operatorpb.Operator {
	return operatorpb.NewOperatorProtobufClient("http://"+c.deployment.Entries[entry].Admin.String(), c.http)
}

// await calls f repeatedly until it returns nil. After the timeout it returns f's last
// error.
func await(ctx context.Context, timeout time.Duration, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not within %s: %w", timeout, err)
		case <-time.After(pollInterval):
		}
	}
}

func (c *cluster) get(url string) error {
	resp, err := c.http.Get("http://" + url)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s returned HTTP status %d", url, resp.StatusCode)
	}
	return nil
}

// waitReady waits until every process of the deployment reports that it is ready.
func (c *cluster) waitReady(ctx context.Context) error {
	data, err := os.ReadFile(filepath.Join(c.dir, "processes"))
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) != 3 {
			continue
		}
		if err := await(ctx, 15*time.Second, func() error { return c.get(fields[2]) }); err != nil {
			return fmt.Errorf("%s: %w", fields[0], err)
		}
	}
	return nil
}

// createServices waits until all entries are voters, creates and confirms the
// intents that create the services, and waits until every service is fully owned.
func (c *cluster) createServices(ctx context.Context) error {
	if err := await(ctx, 20*time.Second, func() error { return c.checkAllVoting(ctx) }); err != nil {
		return err
	}
	files, err := filepath.Glob(filepath.Join(c.dir, "create-*.json"))
	if err != nil {
		return err
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		if err := c.applyIntent(ctx, data); err != nil {
			return fmt.Errorf("%s: %w", filepath.Base(f), err)
		}
	}
	return await(ctx, 20*time.Second, func() error { return c.checkAllOwned(ctx) })
}

// applyIntent creates an intent from its encoded specification and confirms its plan.
func (c *cluster) applyIntent(ctx context.Context, spec []byte) error {
	resp, err := c.operator(0).CreateIntent(ctx, &operatorpb.CreateIntentRequest{Spec: spec, By: "rockload"})
	if err != nil {
		return err
	}
	i, err := intent.Decode(resp.Intent)
	if err != nil {
		return err
	}
	return await(ctx, 5*time.Second, func() error {
		_, err := c.operator(0).ConfirmIntent(ctx, &operatorpb.IntentRequest{Id: i.ID, By: "rockload"})
		return err
	})
}

// applySpec encodes the specification of an intent and applies it.
func (c *cluster) applySpec(ctx context.Context, spec intent.Spec) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	return c.applyIntent(ctx, data)
}

// status returns the status from the first entry that responds.
func (c *cluster) status(ctx context.Context) (*operatorpb.StatusResponse, error) {
	var errs []error
	for i := range c.deployment.Entries {
		s, err := c.operator(i).Status(ctx, &operatorpb.StatusRequest{})
		if err == nil {
			return s, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}

// checkAllVoting returns an error unless every entry is a voter of its cell.
func (c *cluster) checkAllVoting(ctx context.Context) error {
	s, err := c.status(ctx)
	if err != nil {
		return err
	}
	voters := 0
	for _, cell := range s.Cells {
		voters += len(cell.Members)
	}
	if voters < len(c.deployment.Entries) {
		return fmt.Errorf("%d of %d entries are voters", voters, len(c.deployment.Entries))
	}
	return nil
}

// checkAllOwned returns an error unless the whole hash space of every service is owned.
func (c *cluster) checkAllOwned(ctx context.Context) error {
	s, err := c.status(ctx)
	if err != nil {
		return err
	}
	share := make(map[string]float64)
	for _, cell := range s.Cells {
		for _, u := range cell.Upstreams {
			share[u.Service] += u.Share
		}
	}
	for _, u := range c.deployment.Upstreams {
		if share[u.Service] < 0.9999 {
			return fmt.Errorf("only %.4f of the hash space of service %s is owned", share[u.Service], u.Service)
		}
	}
	return nil
}

// pid returns the ID of a process, from the file to which the scripts wrote it.
func (c *cluster) pid(name string) (int, error) {
	data, err := os.ReadFile(filepath.Join(c.dir, name+".pid"))
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimSpace(string(data)))
}

// signal sends a signal to a process of the deployment.
func (c *cluster) signal(name string, sig syscall.Signal) error {
	pid, err := c.pid(name)
	if err != nil {
		return err
	}
	return syscall.Kill(pid, sig)
}

// restart creates the file on which the script that runs the deployment starts a
// process again.
func (c *cluster) restart(name string) error {
	return os.WriteFile(filepath.Join(c.dir, name+".start"), nil, 0o644)
}

// platformFaults sets the faults that the stand-in platform simulates.
func (c *cluster) platformFaults(f platform.Faults) error {
	return c.putJSON(c.deployment.Platform.String()+"/faults", f)
}

// upstreamFaults sets the faults that a stand-in upstream simulates.
func (c *cluster) upstreamFaults(name string, f upstream.Faults) error {
	for _, u := range c.deployment.Upstreams {
		if u.Name == name {
			return c.putJSON(u.Addr.String()+"/faults", f)
		}
	}
	return fmt.Errorf("no upstream %q", name)
}

func (c *cluster) putJSON(url string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %d", url, resp.StatusCode)
	}
	return nil
}

// metrics returns the metrics of an entry, by metric name and field.
func (c *cluster) metrics(entry int) (map[string]map[string]float64, error) {
	resp, err := c.http.Get("http://" + c.deployment.Entries[entry].Admin.String() + "/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var out map[string]map[string]float64
	return out, json.NewDecoder(resp.Body).Decode(&out)
}
