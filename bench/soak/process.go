package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/metastore"
	"github.com/rockcroft/rockcroft/standin/relay"
)

// gateway is a gateway and its process. A script starts the process when the file NAME.start
// appears and writes its process ID to NAME.pid. Only that ID is used to signal it.
// callers, ready, peers and metrics are the addresses on which it listens, all on ip, from which it also
// connects to upstreams.
type gateway struct {
	name, ip, dir, domain          string
	callers, ready, peers, metrics string
	endpoint                       *metastore.Endpoint
	relay                          *relay.Relay

	// faults records when the process was killed, stopped or paused; storeFaults when its path to the store
	// had a fault or the store did not serve it.
	faults, storeFaults faultIntervals
	// cuts records when it was cut off from all upstreams.
	cuts faultIntervals

	mu sync.Mutex
	// faultActive is set while a fault of the process is in progress.
	faultActive bool
	// killed counts the kills of the process, which cut off requests in flight.
	killed int
}

// startTimeout limits the time until the script has started a process. pollInterval is the
// interval at which conditions are checked.
const (
	startTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

func (g *gateway) path(extension string) string { return filepath.Join(g.dir, g.name+extension) }

// start requests a new process from the script and waits until its process ID is written.
func (g *gateway) start() error {
	if err := os.Remove(g.path(".pid")); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if err := os.WriteFile(g.path(".start"), nil, 0o600); err != nil {
		return err
	}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if _, err := g.pid(); err == nil {
			return nil
		}
	}
	return fmt.Errorf("%s was not started within %s; is scripts/soak.sh running?", g.name, startTimeout)
}

func (g *gateway) pid() (int, error) {
	data, err := os.ReadFile(g.path(".pid"))
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimSpace(string(data)))
}

func (g *gateway) signal(s syscall.Signal) error {
	pid, err := g.pid()
	if err != nil {
		return err
	}
	return syscall.Kill(pid, s)
}

// waitExited waits until the process has exited and reports whether it did so before the
// timeout.
func (g *gateway) waitExited(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if g.signal(0) != nil {
			return true
		}
	}
	return false
}

// beginFault reserves the process for a fault. It returns false if one is in progress.
func (g *gateway) beginFault() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.faultActive {
		return false
	}
	g.faultActive = true
	return true
}

func (g *gateway) endFault() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faultActive = false
}

func (g *gateway) recordKill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killed++
}

func (g *gateway) killCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.killed
}

// kill sends SIGKILL to the process and starts a new one after a pause.
func (g *gateway) kill(pause time.Duration) error {
	g.recordKill()
	err := g.signal(syscall.SIGKILL)
	// A request may have begun between the first count and the signal.
	g.recordKill()
	if err != nil {
		return err
	}
	g.waitExited(startTimeout)
	time.Sleep(pause)
	return g.start()
}

// stop sends SIGTERM to the process and starts a new one after a pause. If the process does
// not exit within stopLimit and one second, it is killed and an error is returned.
func (g *gateway) stop(pause time.Duration) error {
	if err := g.signal(syscall.SIGTERM); err != nil {
		return err
	}
	if !g.waitExited(stopLimit + time.Second) {
		g.recordKill()
		return errors.Join(fmt.Errorf("%s did not stop within %s", g.name, stopLimit), g.kill(pause))
	}
	time.Sleep(pause)
	return g.start()
}

// pauseFor suspends the process for d.
func (g *gateway) pauseFor(d time.Duration) error {
	if err := g.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return g.signal(syscall.SIGCONT)
}

// isReady queries the readiness endpoint, as the platform's load balancer does.
func (g *gateway) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}
