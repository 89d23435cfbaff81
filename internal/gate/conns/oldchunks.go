package conns

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// oldProtocol begins the head of a response of HTTP/1.0.
const oldProtocol = "HTTP/1.0"

// checkOldChunks returns an error if the next response is of HTTP/1.0 and in chunks. That version has
// none, so where the body ends isn't known (RFC 9112, 6.1). net/http removes the field and takes
// the chunks with their sizes for the body. A head that is larger than the reader's buffer
// isn't checked beyond that.
func checkOldChunks(reader *bufio.Reader) error {
	for size := len(oldProtocol); ; size = reader.Buffered() + 1 {
		_, err := reader.Peek(size)
		full := errors.Is(err, bufio.ErrBufferFull)
		if err != nil && !full {
			// An error is reported only once, and the head isn't whole.
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		head, _ := reader.Peek(reader.Buffered())
		if !bytes.HasPrefix(head, []byte(oldProtocol)) {
			return nil
		}
		end := headEnd(head)
		if end < 0 && !full {
			continue
		}
		if end >= 0 {
			head = head[:end]
		}
		for line := range bytes.Lines(head) {
			name, value, _ := bytes.Cut(line, []byte(":"))
			if bytes.EqualFold(name, []byte("Transfer-Encoding")) && bytes.Contains(bytes.ToLower(value), []byte("chunked")) {
				return countBroken(errOldChunks)
			}
		}
		return nil
	}
}

// headEnd returns where the last line of a head ends, or -1 if that isn't there yet.
func headEnd(data []byte) int {
	for i, char := range data {
		if char == '\n' && (bytes.HasPrefix(data[i+1:], []byte("\n")) || bytes.HasPrefix(data[i+1:], []byte("\r\n"))) {
			return i + 1
		}
	}
	return -1
}
