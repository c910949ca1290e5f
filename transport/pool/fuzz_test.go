package pool

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// FuzzResponse guards against foreign responses, reads beyond a limit, and memory that stays counted.
func FuzzResponse(f *testing.F) {
	for _, form := range endlessForms {
		f.Add([]byte(form.start+form.repeated), uint16(3))
	}
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nB: c\r\n\r\n",
		"HTTP/1.1 103 x\r\n\r\nHTTP/1.0 204 x\r\nId: a\r\n\r\n",
		"HTTP/1.0 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: a\r\nId: b\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
	} {
		f.Add([]byte(whole), uint16(1))
	}
	limits := Limits{DialTimeout: time.Second, MaxIdleTime: time.Minute, MaxIdleTimeNonIdempotent: time.Minute, MaxIdleConnsPerAddr: 4, MaxHeadBytes: 4 << 10, MaxBodyBytes: 32 << 10}
	f.Fuzz(func(t *testing.T, data []byte, times uint16) {
		p := NewWithDialer(limits, time.Now, func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				defer func() { _ = server.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
					return
				}
				for range times {
					if _, err := server.Write(data); err != nil {
						return
					}
				}
			}()
			return client, nil
		})
		m := NewMemory(16 << 10)
		p.ShareMemory(m)
		var read int64
		r := newRequest("a")
		r.OnRead = func(n int) {
			if read += int64(n); m.Stats().Used > 16<<10 {
				t.Error("the memory exceeds its limit")
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		resp, err := p.Do(ctx, "x", r)
		p.CloseIdle()
		if used := m.Stats().Used; used != 0 {
			t.Errorf("%d bytes are counted after the end", used)
		}
		// The framing of chunks of one byte takes five bytes more for each.
		if most := limits.MaxHeadBytes + 6*limits.MaxBodyBytes + readBufferSize; read > most {
			t.Errorf("%d bytes were read", read)
		}
		if err == nil && (resp.Header.Get("Id") != "a" || int64(len(resp.Body)) > limits.MaxBodyBytes) {
			t.Errorf("response of %d bytes with the ID %q", len(resp.Body), resp.Header.Get("Id"))
		}
		if err == io.EOF {
			t.Error("the error is not classified")
		}
	})
}
