package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

const (
	// headerBytes is the length of a frame's header, which consists of the payload's
	// length, the payload's checksum, and the checksum of these two.
	headerBytes = 12
	// sectorBytes is the unit that a disk writes atomically.
	sectorBytes = 512
	// maxFrameBytes is the maximum length of a frame's payload.
	maxFrameBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame returns a frame with payload.
func encodeFrame(payload []byte) []byte {
	b := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(b[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(b[8:], crc32.Checksum(b[:8], castagnoli))
	return append(b, payload...)
}

// errTorn means that the last frame of a file was not written completely.
var errTorn = errors.New("torn frame")

// errCorrupt means that a frame was changed after it was written.
var errCorrupt = errors.New("checksum does not match")

// nextFrame returns the payload of the frame at offset in file and the offset of the
// frame after it. A frame is torn if the file ends within it, or if it is the last one
// and one of its sectors was never written.
func nextFrame(file []byte, offset int) (payload []byte, end int, err error) {
	rest := file[offset:]
	if len(rest) < headerBytes {
		return nil, 0, errTorn
	}
	header := rest[:headerBytes]
	if crc32.Checksum(header[:8], castagnoli) != binary.LittleEndian.Uint32(header[8:]) {
		return nil, 0, tornOrCorrupt(file, offset, len(file))
	}
	n := int(binary.LittleEndian.Uint32(header))
	if n > len(rest)-headerBytes {
		return nil, 0, errTorn
	}
	end = offset + headerBytes + n
	payload = rest[headerBytes : headerBytes+n]
	if crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(header[4:]) {
		return payload, end, nil
	}
	if end < len(file) {
		return nil, 0, errCorrupt
	}
	return nil, 0, tornOrCorrupt(file, offset, end)
}

// tornOrCorrupt returns errTorn if a sector of file from offset to end contains only
// zeros, and errCorrupt otherwise.
func tornOrCorrupt(file []byte, offset, end int) error {
	for offset < end {
		stop := min(end, (offset/sectorBytes+1)*sectorBytes)
		if len(bytes.Trim(file[offset:stop], "\x00")) == 0 {
			return errTorn
		}
		offset = stop
	}
	return errCorrupt
}
