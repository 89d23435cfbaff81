package conns

import (
	"io"
	"net"
	"strings"

	"github.com/pkg/errors"
)

// withoutContent returns an error of reading a response without what was read. Decoders
// quote it, and it may belong to another caller's call.
func withoutContent(err error) error {
	var netError net.Error
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errHeadTooLarge) || errors.As(err, &netError) {
		return err
	}
	reason := strings.TrimPrefix(err.Error(), "http: ")
	if end := strings.IndexAny(reason, `":`); end >= 0 {
		reason = strings.TrimSpace(reason[:end])
	}
	return errors.Errorf("the response can't be decoded: %s", reason)
}
