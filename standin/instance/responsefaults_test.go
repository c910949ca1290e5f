package instance

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/platform"
)

// TestCopiesAreSentBeforeTheNextResponse guards against a stand-in without faults: copies that do not arrive, or arrive elsewhere.
func TestCopiesAreSentBeforeTheNextResponse(t *testing.T) {
	for name, c := range map[string]struct {
		anyConnection bool
		// second and third are the IDs of the responses that arrive on the second connection and then on the first.
		second, third []string
	}{
		"own connection": {false, []string{"r2"}, []string{"r1", "r3"}},
		"any connection": {true, []string{"r1", "r2"}, []string{"r2", "r3"}},
	} {
		i := New("i", false, 0, NewOracle())
		i.SetResponseFaults(ResponseFaults{Refused: 1, Copied: 1, AnyConnection: c.anyConnection})
		server := httptest.NewUnstartedServer(i)
		server.Config.ConnContext = WithConn
		server.Start()
		first, second := dialInstance(t, server), dialInstance(t, server)
		first.send(t, "r1")
		first.expect(t, name, "r1")
		second.send(t, "r2")
		second.expect(t, name, c.second...)
		first.send(t, "r3")
		first.expect(t, name, c.third...)
		if n := i.Oracle.InstanceRuns("i"); n != 0 {
			t.Errorf("%s: %d requests ran", name, n)
		}
		server.Close()
	}
}

// instanceConn is a connection to an instance.
type instanceConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialInstance(t *testing.T, server *httptest.Server) *instanceConn {
	t.Helper()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &instanceConn{Conn: c, reader: bufio.NewReader(c)}
}

func (c *instanceConn) send(t *testing.T, id string) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "GET /x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", platform.RequestID, id); err != nil {
		t.Fatal(err)
	}
}

// expect reads refusals with the given IDs.
func (c *instanceConn) expect(t *testing.T, name string, ids ...string) {
	t.Helper()
	var got []string
	for range ids {
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if !platform.IsNotExecuted(resp.StatusCode, resp.Header) {
			t.Errorf("%s: status %d", name, resp.StatusCode)
		}
		got = append(got, platform.ID(resp.Header))
	}
	if diff := cmp.Diff(ids, got); diff != "" {
		t.Errorf("%s: %s", name, diff)
	}
}

// TestEndlessResponseFollowsRun guards against a stand-in that sends a response with an end, or none, or without a run.
func TestEndlessResponseFollowsRun(t *testing.T) {
	i := New("i", false, 0, NewOracle())
	i.SetResponseFaults(ResponseFaults{Endless: 1})
	server := httptest.NewUnstartedServer(i)
	server.Config.ConnContext = WithConn
	server.Start()
	c := dialInstance(t, server)
	c.send(t, "r")
	read := 0
	for buffer := make([]byte, endlessChunk); read < 3*endlessChunk; {
		n, err := c.reader.Read(buffer)
		if err != nil {
			t.Fatalf("the response ends after %d bytes: %v", read, err)
		}
		read += n
	}
	if runs := i.Oracle.Runs("r"); runs != 1 {
		t.Errorf("%d runs", runs)
	}
	_ = c.Close()
	server.Close()
}
