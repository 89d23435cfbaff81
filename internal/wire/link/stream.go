package link

import (
	"context"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// The error codes of streams and connections.
const (
	streamAborted quic.StreamErrorCode      = 1
	connClosed    quic.ApplicationErrorCode = 0
	connTimedOut  quic.ApplicationErrorCode = 2
)

// maxMessageBytes is the maximum size of a received message in bytes.
const maxMessageBytes = 64 << 20

// The CBOR codec; struct fields are encoded by their Go names.
var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

func mustEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro, TextMarshaler: cbor.TextMarshalerTextString}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		TextUnmarshaler:  cbor.TextUnmarshalerTextString,
		MaxArrayElements: 1 << 21,
		MaxMapPairs:      1 << 20,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes the payload of a packet as messages on streams are encoded.
func Marshal(message any) ([]byte, error) {
	data, err := encoding.Marshal(message)
	return data, errors.Wrap(err, "encode message")
}

// Unmarshal decodes what Marshal has encoded.
func Unmarshal(data []byte, message any) error {
	return errors.Wrap(decoding.Unmarshal(data, message), "decode message")
}

// Stream is an exchange of typed messages with a peer. At most one goroutine may
// call Send, and at most one Receive, at the same time.
type Stream struct {
	stream  *quic.Stream
	conn    *conn
	decoder *cbor.Decoder
	limit   *limitReader
	stop    func() bool
}

// limitReader limits the size of a message and records the arrival of data.
type limitReader struct {
	stream *quic.Stream
	conn   *conn
	left   int64
}

// Read implements io.Reader.
func (reader *limitReader) Read(p []byte) (n int, err error) {
	if reader.left <= 0 {
		return 0, errors.New("message is too large")
	}
	if int64(len(p)) > reader.left {
		p = p[:reader.left]
	}
	if n, err = reader.stream.Read(p); n > 0 {
		reader.left -= int64(n)
		reader.conn.received()
	}
	return n, err
}

func newStream(stream *quic.Stream, conn *conn) *Stream {
	limit := &limitReader{stream: stream, conn: conn}
	return &Stream{
		stream:  stream,
		conn:    conn,
		decoder: decoding.NewDecoder(limit),
		limit:   limit,
	}
}

// Send writes one message.
func (stream *Stream) Send(message any) error {
	data, err := encoding.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if _, err = stream.stream.Write(data); err != nil {
		return errors.Wrap(err, "send message")
	}
	stream.conn.node.count(len(data), 0)
	return nil
}

// Receive reads one message. It returns io.EOF after the peer's last message.
func (stream *Stream) Receive(message any) error {
	stream.limit.left = maxMessageBytes
	before := stream.decoder.NumBytesRead()
	if err := stream.decoder.Decode(message); err != nil {
		if errors.Is(err, io.EOF) {
			return io.EOF
		}
		return errors.Wrap(err, "receive message")
	}
	stream.conn.node.count(0, stream.decoder.NumBytesRead()-before)
	return nil
}

// CloseSend closes the sending direction; no message may follow.
func (stream *Stream) CloseSend() error {
	return errors.Wrap(stream.stream.Close(), "close stream")
}

// CloseAndAwait closes the sending direction and waits until the peer has ended the
// exchange, which callers do once they have received the last message. It returns an error
// if the connection is lost before.
func (stream *Stream) CloseAndAwait() error {
	if err := stream.CloseSend(); err != nil {
		return err
	}
	var rest [64]byte
	for {
		_, err := stream.stream.Read(rest[:])
		var ended *quic.StreamError
		switch {
		case errors.Is(err, io.EOF) || errors.As(err, &ended):
			return nil
		case err != nil:
			return errors.Wrap(err, "await the end of the exchange")
		}
	}
}

// Abort immediately ends the exchange in both directions.
func (stream *Stream) Abort() {
	stream.stream.CancelRead(streamAborted)
	stream.stream.CancelWrite(streamAborted)
}

// Context ends when the peer aborts the exchange or the connection is lost.
func (stream *Stream) Context() context.Context {
	return stream.stream.Context()
}

// finish stops the abort at the end of the caller's context.
func (stream *Stream) finish() {
	if stream.stop != nil {
		stream.stop()
	}
}
