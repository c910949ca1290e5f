package pool

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/textproto"

	"github.com/rockcroft/rockcroft/transport/framing"
)

// This file reads heads of HTTP/1.0. net/http drops a Transfer-Encoding there and takes the chunks for the body.

const http10 = "HTTP/1.0"

// startsWith10 reports whether the next response is one of HTTP/1.0.
func (c *conn) startsWith10() bool {
	start, err := c.reader.Peek(len(http10))
	return err == nil && string(start) == http10
}

// readHead10 reads the head of a response of HTTP/1.0, after which the connection is not reused. It returns
// framing.ErrInvalidHead if it has a Transfer-Encoding.
func (c *conn) readHead10(r *http.Request) (*http.Response, error) {
	head, err := c.readRawHead()
	if err != nil {
		return nil, err
	}
	_, fields, _ := bytes.Cut(head, []byte{'\n'})
	header, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	if len(header["Transfer-Encoding"]) > 0 {
		return nil, fmt.Errorf("%w: transfer encoding in %s", framing.ErrInvalidHead, http10)
	}
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(head), c.reader), readBufferSize)
	resp, err := http.ReadResponse(c.reader, r)
	if err == nil {
		// Bytes that follow the response may be in the former reader, where they are not looked for.
		resp.Close = true
	}
	return resp, err
}

// readRawHead reads a status line and headers, with the empty line after them.
func (c *conn) readRawHead() (head []byte, err error) {
	for {
		line, err := c.reader.ReadBytes('\n')
		if err == io.EOF {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		head = append(head, line...)
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return head, nil
		}
	}
}
