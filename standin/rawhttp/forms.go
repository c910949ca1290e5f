// Package rawhttp sends HTTP responses to clients byte by byte: whole ones in unusual forms, and broken ones, which
// servers in trouble send.
package rawhttp

import (
	"fmt"
	"slices"
	"strings"
)

// Form is a form in which a response is sent, before the body of its request is read.
type Form struct {
	Name  string
	parts []string
	end   end
}

// ReachesWriter reports whether the connection ends such that a client which still writes its request gets an error.
func (f Form) ReachesWriter() bool { return f.end != drain }

// half returns the first half of a body.
func half(body string) string { return body[:len(body)/2] }

// Broken returns forms of a response that is not whole. fields are header lines, each with its line end.
func Broken(fields, body string) []Form {
	ok := "HTTP/1.1 200 OK\r\n" + fields
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	whole := ok + length + body
	// inner is a whole response with another body.
	inner := ok + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(half(body)), half(body))
	innerAsBody := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(inner), inner)
	forms := []Form{
		{"no length, half of the body, reset at once", []string{ok + "\r\n" + half(body)}, reset},
		{"no length, half of the body, reset later", []string{ok + "\r\n", half(body), ""}, reset},
		{"no length, no body, reset", []string{ok + "\r\n", ""}, reset},
		{"status 000", []string{"HTTP/1.1 000 x\r\n" + fields + length + body}, drain},
		{"status 000, a response in its body", []string{"HTTP/1.1 000 x\r\n" + fields + innerAsBody}, drain},
		{"status 099, a response in its body", []string{"HTTP/1.1 099 x\r\n" + fields + innerAsBody}, drain},
		{"status with a sign, a response in its body", []string{"HTTP/1.1 +20 x\r\n" + fields + innerAsBody}, drain},
		{"status 101, a response after it", []string{"HTTP/1.1 101 x\r\n" + fields + "\r\n" + inner}, drain},
		{"blank after a name, more bytes than the length", []string{"HTTP/1.1 200 OK\r\n" + fields + fmt.Sprintf("Content-Length : %d\r\n\r\n", len(body)) + body + body}, drain},
		{"blank after the name of chunks", []string{ok + "Transfer-Encoding : chunked\r\n" + length + body}, drain},
		{"blank in a name", []string{ok + "X Name: 1\r\n" + length + body}, drain},
		{"blank in a name of an interim response", []string{"HTTP/1.1 103 Early Hints\r\nX Name: 1\r\n\r\n" + whole}, drain},
	}
	return slices.Concat(forms, cutBodies(ok, length, body), controlBytes(ok, length+body), cutHeads(whole, len(ok+length)))
}

// chunked announces a body in chunks and ends the head.
const chunked = "Transfer-Encoding: chunked\r\n\r\n"

// chunks returns a body in two chunks and the last one.
func chunks(body string) string {
	first, second := half(body), body[len(body)/2:]
	return fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(first), first, len(second), second)
}

// cutBodies returns forms that end within a body with a length or in chunks, after the last chunk too.
func cutBodies(start, length, body string) []Form {
	whole := start + chunked + chunks(body)
	out := []Form{
		{"length, half of the body", []string{start + length + half(body)}, drain},
		{"length, half of the body, reset", []string{start + length + half(body), ""}, reset},
		{"chunks, reset", []string{strings.TrimSuffix(whole, "0\r\n\r\n"), ""}, reset},
	}
	for n := 1; n < len("\r\n0\r\n\r\n"); n++ {
		out = append(out, Form{fmt.Sprintf("chunks, cut %d bytes before their end", n), []string{whole[:len(whole)-n]}, drain})
	}
	return out
}

// controlBytes returns forms with a control byte in a header line.
func controlBytes(start, rest string) (out []Form) {
	for _, b := range []byte{0, 1, '\t', '\r', 0x7f} {
		out = append(out, Form{fmt.Sprintf("byte %#x in a name", b), []string{start + "X" + string(b) + "Name: 1\r\n" + rest}, drain})
	}
	for _, b := range []byte{0, 1, 0x7f} {
		out = append(out, Form{fmt.Sprintf("byte %#x in a value", b), []string{start + "X-Name: a" + string(b) + "b\r\n" + rest}, drain})
	}
	return out
}

// cutHeads returns forms that end within the head, which has the given length: in the status line, in header lines, after
// them, and in the empty line.
func cutHeads(whole string, headLength int) (out []Form) {
	const parts = 12
	for n := range parts {
		out = append(out, Form{fmt.Sprintf("cut after %d of %d parts of the head", n, parts), []string{whole[:headLength*n/parts]}, drain})
	}
	for n := 1; n <= len("\r\n"); n++ {
		out = append(out, Form{fmt.Sprintf("cut %d bytes before the end of the head", n), []string{whole[:headLength-n]}, drain})
	}
	return out
}

// ChunksInHTTP10 returns a form in which the body is sent in chunks by a version of HTTP that has none.
func ChunksInHTTP10(fields, body string) Form {
	return Form{"chunks in HTTP/1.0", []string{"HTTP/1.0 200 OK\r\n" + fields + chunked + chunks(body)}, drain}
}

// Whole returns forms of a response that is whole.
func Whole(fields, body string) []Form {
	ok := "HTTP/1.1 200 OK\r\n" + fields
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	return []Form{
		{"length", []string{ok + length + body}, drain},
		{"length, in pieces", strings.Split(ok+length+body, ""), drain},
		{"no length", []string{ok + "\r\n" + body}, drain},
		{"no length, in pieces", []string{ok, "\r\n", half(body), body[len(body)/2:]}, drain},
		{"no length, reset after its end", []string{ok + "\r\n" + body}, resetAfterEnd},
		{"no length, request is not read", []string{ok + "\r\n" + body}, holdAfterEnd},
		{"HTTP/1.0, length", []string{"HTTP/1.0 200 OK\r\n" + fields + length + body}, drain},
		{"HTTP/1.0, no length", []string{"HTTP/1.0 200 OK\r\n" + fields + "\r\n" + body}, drain},
		{"chunks", []string{ok + chunked + chunks(body)}, drain},
		{"chunks, in pieces", strings.Split(ok+chunked+chunks(body), ""), drain},
		{"chunks and a length", []string{ok + "Content-Length: 1\r\n" + chunked + chunks(body)}, drain},
		{"length twice", []string{ok + strings.TrimSuffix(length, "\r\n") + length + body}, drain},
		{"folded header line", []string{ok + "X-Name: a\r\n b\r\n" + length + body}, drain},
		{"interim response before", []string{"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", ok + length + body}, drain},
		{"interim response with a length before", []string{"HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n" + ok + length + body}, drain},
		{"ten interim responses before", []string{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 10) + ok + length + body}, drain},
	}
}
