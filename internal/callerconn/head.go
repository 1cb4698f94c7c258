package callerconn

const (
	// fieldBytes is the memory of a field of a head beside its text: the entries of the maps and
	// slices into which it is parsed and copied.
	fieldBytes = 256
	// textCopies is the number of times that the text of a head is held: as it was read, parsed, and
	// encoded for an endpoint.
	textCopies = 3
	// freeHeadBytes is the memory for heads that each connection has for itself, whatever others take.
	// It suffices for heads of ordinary size.
	freeHeadBytes = 8 << 10
	// http2Bytes is the memory of a connection over HTTP/2: buffers, tables of header fields, and the
	// stacks of its goroutines.
	http2Bytes = 32 << 10
	// streamBytes is the memory of a request over HTTP/2 beside its head.
	streamBytes = 8 << 10
)

// headCost returns the memory that a head takes once it is parsed: that of many short fields is a
// multiple of their size on the wire.
func headCost(bytes, fields int) int64 { return int64(textCopies*bytes) + int64(fieldBytes*fields) }

// headScanner finds the end of a head, which is an empty line.
type headScanner struct {
	lineBytes int  // of the current line so far
	cr        bool // whether its last byte is a carriage return
}

// scan returns the number of bytes of p up to the end of the head, the number of lines in them, and
// whether p contains the end. If it doesn't, all its bytes belong to the head.
func (s *headScanner) scan(p []byte) (bytes, lines int, ended bool) {
	for i, b := range p {
		if b != '\n' {
			s.lineBytes++
			s.cr = b == '\r'
			continue
		}
		lines++
		empty := s.lineBytes == 0 || s.lineBytes == 1 && s.cr
		s.lineBytes, s.cr = 0, false
		if empty {
			return i + 1, lines, true
		}
	}
	return len(p), lines, false
}

// countLines returns the number of lines that end in p.
func countLines(p []byte) int {
	n := 0
	for _, b := range p {
		if b == '\n' {
			n++
		}
	}
	return n
}

// Frames of HTTP/2 (RFC 9113) that carry heads.
const (
	http2Preface      = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameHeaderBytes  = 9
	frameHeaders      = 0x1
	frameContinuation = 0x9
	flagEndHeaders    = 0x4
	// bytesPerField is the least number of bytes of an encoded field that the decoder counts
	// towards its own limit, by which it keeps no more than a part of the fields.
	bytesPerField = 4
)

// frameScanner finds the encoded heads in the frames of a connection.
type frameScanner struct {
	header [frameHeaderBytes]byte
	have   int // bytes of header
	left   int // bytes of the payload
	open   bool
}

// scan returns the number of bytes of heads in p, how many heads end in it, and whether a head has begun
// and not ended at its end.
func (s *frameScanner) scan(p []byte) (bytes, ends int, open bool) {
	for len(p) > 0 {
		if s.have < frameHeaderBytes {
			n := copy(s.header[s.have:], p)
			s.have += n
			p = p[n:]
			if s.have < frameHeaderBytes {
				break
			}
			s.left = int(s.header[0])<<16 | int(s.header[1])<<8 | int(s.header[2])
		}
		n := min(s.left, len(p))
		s.left -= n
		p = p[n:]
		if kind := s.header[3]; kind == frameHeaders || kind == frameContinuation {
			bytes += n
			s.open = s.left > 0 || s.header[4]&flagEndHeaders == 0
			if !s.open {
				ends++
			}
		}
		if s.left == 0 {
			s.have = 0
		}
	}
	return bytes, ends, s.open
}
