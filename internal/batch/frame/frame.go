// Package frame encodes the blocks of a segment for disk and network.
//
// A frame consists of a header, an index and a body. The header holds the
// lengths of the other two in bytes and a checksum over both. The index lists
// the items of the block, so a scan need not read and decompress the body.
// The writer encodes a block once and all ledgers store the same bytes, so
// offsets agree on all copies.
package frame

import (
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
)

const (
	// HeaderSize is the length of a frame's header in bytes.
	HeaderSize = 12
	// maxIndex and maxBody, in bytes, bound the reads that a corrupted header
	// can cause; maxUncompressed bounds the decompressed body.
	maxIndex        = 1 << 20
	maxBody         = 64 << 20
	maxUncompressed = 256 << 20
)

// ErrTorn reports a frame that is truncated or corrupted.
var ErrTorn = errors.New("frame is not whole")

var (
	crcTable = crc32.MakeTable(crc32.Castagnoli)
	encoder  = newEncoder()
	decoder  = newDecoder()
)

func newEncoder() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		panic(err)
	}
	return encoder
}

func newDecoder() *zstd.Decoder {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxUncompressed))
	if err != nil {
		panic(err)
	}
	return decoder
}

// Index summarises a block and can be read without decompressing its body.
type Index struct {
	// Items holds the item numbers in the order of the block's lines.
	Items []int
	// Failed is the number of failed results.
	Failed int
}

// Append encodes a block as a frame and appends it to data.
func Append(data []byte, block agatestage.Block) ([]byte, error) {
	var index Index
	for _, line := range block.Lines {
		index.Items = append(index.Items, line.Item)
		if line.Failed {
			index.Failed++
		}
	}
	indexBytes, err := cbor.Marshal(index)
	if err != nil {
		return nil, errors.Wrap(err, "encode index")
	}
	var uncompressed []byte
	if uncompressed, err = cbor.Marshal(block); err != nil {
		return nil, errors.Wrap(err, "encode block")
	}
	body := encoder.EncodeAll(uncompressed, nil)
	if len(indexBytes) > maxIndex || len(body) > maxBody || len(uncompressed) > maxUncompressed {
		return nil, errors.New("block is too large")
	}
	checksum := crc32.Update(crc32.Checksum(indexBytes, crcTable), crcTable, body)
	data = binary.LittleEndian.AppendUint32(data, uint32(len(indexBytes)))
	data = binary.LittleEndian.AppendUint32(data, uint32(len(body)))
	data = binary.LittleEndian.AppendUint32(data, checksum)
	data = append(data, indexBytes...)
	return append(data, body...), nil
}

// Header is the decoded header of a frame: the lengths of index and body in bytes,
// and the checksum over both.
type Header struct {
	index    int
	body     int
	checksum uint32
}

// Size returns the length of the frame in bytes, header included.
func (header Header) Size() int64 {
	return int64(HeaderSize + header.index + header.body)
}

// ReadHeader reads the frame header at offset. It returns io.EOF if the data
// ends exactly there, and ErrTorn if the header is truncated or out of bounds.
func ReadHeader(reader io.ReaderAt, offset int64) (header Header, err error) {
	var raw [HeaderSize]byte
	n, err := reader.ReadAt(raw[:], offset)
	if n == 0 && errors.Is(err, io.EOF) {
		return header, io.EOF
	}
	if n < HeaderSize {
		return header, ErrTorn
	}
	header.index = int(binary.LittleEndian.Uint32(raw[0:]))
	header.body = int(binary.LittleEndian.Uint32(raw[4:]))
	header.checksum = binary.LittleEndian.Uint32(raw[8:])
	if header.index == 0 || header.index > maxIndex || header.body > maxBody {
		return header, ErrTorn
	}
	return header, nil
}

// Read reads the frame at offset, verifies its checksum and returns its header
// and the bytes after it.
func Read(reader io.ReaderAt, offset int64) (header Header, data []byte, err error) {
	if header, err = ReadHeader(reader, offset); err != nil {
		return header, nil, err
	}
	data = make([]byte, header.index+header.body)
	if n, _ := reader.ReadAt(data, offset+HeaderSize); n < len(data) {
		return header, nil, ErrTorn
	}
	if crc32.Checksum(data, crcTable) != header.checksum {
		return header, nil, ErrTorn
	}
	return header, data, nil
}

// ReadIndex reads the header and the index of the frame at offset. It doesn't
// read the body, so the checksum is not verified.
func ReadIndex(reader io.ReaderAt, offset int64) (header Header, index Index, err error) {
	if header, err = ReadHeader(reader, offset); err != nil {
		return header, index, err
	}
	data := make([]byte, header.index)
	if n, _ := reader.ReadAt(data, offset+HeaderSize); n < len(data) {
		return header, index, ErrTorn
	}
	return header, index, errors.Wrap(cbor.Unmarshal(data, &index), "decode index")
}

// Block decodes the block from the data that Read returned.
func (header Header) Block(data []byte) (block agatestage.Block, err error) {
	var uncompressed []byte
	if uncompressed, err = decoder.DecodeAll(data[header.index:], nil); err != nil {
		return block, errors.Wrap(err, "decompress block")
	}
	return block, errors.Wrap(cbor.Unmarshal(uncompressed, &block), "decode block")
}

// ValidEnd returns the offset at which the run of valid frames that starts at from
// ends.
func ValidEnd(reader io.ReaderAt, from int64) (end int64) {
	for end = from; ; {
		header, _, err := Read(reader, end)
		if err != nil {
			return end
		}
		end += header.Size()
	}
}

// Blocks decodes the first size bytes, which must be a sequence of valid frames.
func Blocks(reader io.ReaderAt, size int64) (blocks []agatestage.Block, err error) {
	for offset := int64(0); offset < size; {
		header, data, err := Read(reader, offset)
		if err != nil {
			return nil, errors.Wrapf(err, "frame at %d", offset)
		}
		var block agatestage.Block
		if block, err = header.Block(data); err != nil {
			return nil, err
		}
		blocks = append(blocks, block)
		offset += header.Size()
	}
	return blocks, nil
}
