package pipeliner

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"

	"bluebellhoist/core/accountant"
	"bluebellhoist/daemon/courier"
)

// headReservation is the step in which the memory for a header section is reserved.
const headReservation = 4 << 10

// readHead reads the header section of a call. It is parsed only when it is complete and known to have few enough fields,
// since parsed fields take many times the memory of short ones. The body of the returned request must not be used.
func (c *connection) readHead(ctx context.Context, holder *accountant.Holder, bounds Bounds) (*http.Request, error) {
	var head []byte
	var lines, reserved, needed int64
	for lineBegins := true; ; {
		part, err := c.r.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(head)+len(part)-readBufferBytes > bounds.MaxHeaderBytes { // the bound plus a buffer may overflow
			return nil, errHeaderTooLarge
		}
		needed += 2*int64(len(part)) + courier.FieldBytes // once as received and once parsed
		if needed > reserved {
			if err := holder.Grow(ctx, needed-reserved+headReservation); err != nil {
				return nil, err
			}
			reserved = needed + headReservation
		}
		head = append(head, part...)
		if lineBegins && isBlankLine(part) {
			return parseHead(head)
		}
		if lineBegins = err == nil; lineBegins {
			lines++
		}
		if lines > maxFields+1 { // besides the request line
			return nil, errTooManyFields
		}
	}
}

// parseHead parses a complete header section.
func parseHead(head []byte) (*http.Request, error) {
	source := bytes.NewReader(head)
	reader := bufio.NewReaderSize(source, min(len(head), readBufferBytes))
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errMalformed, err)
	}
	if reader.Buffered()+source.Len() > 0 { // the parser has seen the end of the header section earlier
		return nil, fmt.Errorf("%w: blank line within the header", errMalformed)
	}
	return r, nil
}

// skipTrailer reads the trailer of a chunked body to its end.
func (c *connection) skipTrailer() error {
	for range maxFields {
		line, err := c.r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return fmt.Errorf("%w: long line in the trailer", errMalformed)
		}
		if err != nil {
			return err
		}
		if isBlankLine(line) {
			return nil
		}
	}
	return errTooManyFields
}

func isBlankLine(line []byte) bool {
	return string(line) == "\r\n" || string(line) == "\n"
}
