package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
)

// Heads and bodies of requests and answers. A head of many short fields costs some twenty times its bytes once it is
// parsed, so only the fields that the relay reads are kept and parsed. The others are checked and dropped as they arrive.

const (
	maxFieldName    = 32  // bytes of the longest name in a fieldSet
	firstHeadBytes  = 512 // of the buffer for a head; it grows with what is kept
	parseBufferSize = 512
)

var errMalformedHead = errors.New("malformed head")

// fieldSet is a set of names of header fields.
type fieldSet struct {
	names   map[string]struct{} // in lower case
	lengths uint64              // bit n: there is a name of n bytes
}

func newFieldSet(names ...string) fieldSet {
	fields := fieldSet{names: map[string]struct{}{}}
	for _, name := range names {
		fields.names[strings.ToLower(name)] = struct{}{}
		fields.lengths |= 1 << len(name)
	}
	return fields
}

// The fields that the relay reads, and those that tell how long a body is and what becomes of the connection.
var (
	requestFields = newFieldSet("Host", "Connection", "Content-Length", "Transfer-Encoding", "Trailer", "Expect", "X-Trace-Id", "X-Qos",
		"X-Customer", "X-Expires-In-Ms", "Idempotency-Key", "Envelope")
	answerFields = newFieldSet("Connection", "Content-Length", "Transfer-Encoding", "Trailer", "Retry-After", "Slots-Taken",
		"Endpoint-Load-Metrics")
)

// contains reports whether the set has a name, in whatever case it is written.
func (fields fieldSet) contains(name []byte) bool {
	if len(name) > maxFieldName || fields.lengths&(1<<len(name)) == 0 {
		return false
	}
	var lower [maxFieldName]byte
	for i, c := range name {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		lower[i] = c
	}
	_, ok := fields.names[string(lower[:len(name)])]
	return ok
}

// headFilter collects from a head its first line and the fields of a set.
type headFilter struct {
	fields  fieldSet
	grow    func(bytes int) error // asked before the buffer takes so many bytes; nil: there is always room
	kept    []byte
	lines   int  // that have begun
	keeping bool // the current line, or the field that it continues, is kept
	midLine bool
	ended   bool
}

// readHead reads a head with the empty line that ends it, and returns its first line, the fields of a set, and the empty
// line. Its errors are those of the connection, those of grow, and errMalformedHead.
func readHead(r *bufio.Reader, fields fieldSet, grow func(bytes int) error) ([]byte, error) {
	h := headFilter{fields: fields, grow: grow}
	for !h.ended {
		part, err := r.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if err := h.add(part, err == nil); err != nil {
			return nil, err
		}
	}
	return h.kept, nil
}

// add takes a line, or a part of one.
func (h *headFilter) add(part []byte, endsLine bool) error {
	if !h.midLine {
		if err := h.beginLine(part, endsLine); err != nil {
			return err
		}
	}
	h.midLine = !endsLine
	if !h.keeping {
		return checkDropped(part, endsLine)
	}
	if err := h.makeRoom(len(part)); err != nil {
		return err
	}
	h.kept = append(h.kept, part...)
	return nil
}

// beginLine decides whether a line is kept, from its first part.
func (h *headFilter) beginLine(part []byte, endsLine bool) error {
	h.lines++
	switch {
	case h.lines == 1:
		h.keeping = true
	case endsLine && len(bytes.TrimSuffix(part[:len(part)-1], []byte("\r"))) == 0:
		h.keeping, h.ended = true, true
	case part[0] == ' ' || part[0] == '\t': // continues the field before
		if h.lines == 2 {
			return errMalformedHead
		}
	default:
		name, _, found := bytes.Cut(part, []byte(":"))
		if !found || len(name) == 0 {
			return errMalformedHead
		}
		// An unusual name is left to the parser, which rejects most of them.
		h.keeping = !isToken(name) || h.fields.contains(name)
	}
	return nil
}

// checkDropped rejects what the parser would reject in a line that is dropped: control characters.
func checkDropped(part []byte, endsLine bool) error {
	if endsLine {
		part = part[:len(part)-1]
	}
	part = bytes.TrimSuffix(part, []byte("\r"))
	for _, c := range part {
		if c < ' ' && c != '\t' || c == 0x7f {
			return errMalformedHead
		}
	}
	return nil
}

// tokenBytes are the characters that RFC 9110 allows in a field's name.
var tokenBytes = func() (allowed [256]bool) {
	const others = "!#$%&'*+-.^_`|~"
	for c := range allowed {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		allowed[c] = letter || '0' <= c && c <= '9' || strings.IndexByte(others, byte(c)) >= 0
	}
	return allowed
}()

// isToken reports whether a field's name has only the characters that are allowed in one.
func isToken(name []byte) bool {
	for _, c := range name {
		if !tokenBytes[c] {
			return false
		}
	}
	return true
}

// makeRoom grows the buffer for more bytes.
func (h *headFilter) makeRoom(more int) error {
	size := max(firstHeadBytes, cap(h.kept))
	for size < len(h.kept)+more {
		size *= 2
	}
	if size == cap(h.kept) {
		return nil
	}
	if h.grow != nil {
		if err := h.grow(size); err != nil {
			return err
		}
	}
	h.kept = append(make([]byte, 0, size), h.kept...)
	return nil
}

// readRequest reads the head of a request. Its body is read from r, too. grow is asked before more room is taken.
func readRequest(r *bufio.Reader, grow func(bytes int) error) (*http.Request, error) {
	head, err := readHead(r, requestFields, grow)
	if err != nil {
		return nil, err
	}
	req, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), parseBufferSize))
	if err != nil {
		return nil, err
	}
	if hasBothLengths(head) {
		return nil, errBothLengths
	}
	req.Body = newBody(r, req.ContentLength, len(req.TransferEncoding) > 0)
	return req, nil
}

// readAnswerHead reads the head of an answer to a request. Its body is read from r, too.
func readAnswerHead(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	head, err := readHead(r, answerFields, nil)
	if err != nil {
		return nil, err
	}
	res, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(head), parseBufferSize), req)
	if err != nil {
		return nil, err
	}
	res.Body = newBody(r, res.ContentLength, len(res.TransferEncoding) > 0)
	return res, nil
}

// errBothLengths rejects a request that tells its body's length in both ways. It may be read differently elsewhere, which
// allows request smuggling.
var errBothLengths = errors.New("both Content-Length and Transfer-Encoding")

var lengthFields = [2]string{"content-length:", "transfer-encoding:"}

// hasBothLengths reports whether a head tells the length of the body in both ways.
func hasBothLengths(head []byte) bool {
	for _, field := range lengthFields {
		if !bytes.Contains(bytes.ToLower(head), []byte("\n"+field)) {
			return false
		}
	}
	return true
}

// newBody returns the body that follows a head in r. A negative length is that of a chunked body, or of one that lasts until
// the connection ends.
func newBody(r *bufio.Reader, length int64, chunked bool) io.ReadCloser {
	switch {
	case chunked:
		return io.NopCloser(&chunkedBody{chunks: httputil.NewChunkedReader(r), rest: r})
	case length == 0:
		return http.NoBody
	case length < 0:
		return io.NopCloser(r)
	}
	return io.NopCloser(&sizedBody{r, length})
}

// sizedBody is a body of a known length.
type sizedBody struct {
	r    *bufio.Reader
	left int64
}

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	if b.left -= int64(n); b.left > 0 && errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a chunked body with its trailer, which is dropped.
type chunkedBody struct {
	chunks io.Reader
	rest   *bufio.Reader
	ended  bool
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended = true
		if trailerErr := b.dropTrailer(); trailerErr != nil {
			err = trailerErr
		}
	}
	return n, err
}

// dropTrailer reads the fields behind the last chunk, and the empty line that ends them.
func (b *chunkedBody) dropTrailer() error {
	trailer := headFilter{lines: 1}
	for !trailer.ended {
		part, err := b.rest.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
		if err == nil && !bytes.HasSuffix(part, []byte("\r\n")) {
			return errMalformedHead
		}
		if err := trailer.add(part, err == nil); err != nil {
			return err
		}
	}
	return nil
}
