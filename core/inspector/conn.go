package inspector

import (
	"net"
	"sync"
)

// conn checks the header sections of responses before net/http parses them: net/http accepts blanks in field names, and
// does not tell whether a header stated the length in two ways.
type conn struct {
	net.Conn

	mu     sync.Mutex
	head   *headScanner // nil while no header section is expected
	begun  bool         // bytes of the expected header section were passed on
	failed error
}

// expectHead makes the conn check what it reads from now on, up to the end of the next header section of a final response.
func (c *conn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.begun = &headScanner{}, false
}

// Read reads from the connection. After a malformed header section it only returns errors.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return 0, c.failed
	}
	if c.head == nil || n == 0 {
		return n, err
	}
	if c.failed = c.check(p[:n]); c.failed == nil {
		c.begun = true
		return n, err
	}
	if c.begun {
		return 0, c.failed
	}
	// The first byte is passed on: if reading it fails, net/http takes the response for missing and repeats the request.
	return 1, nil
}

// cause returns what is wrong with the header section that has been read, or err if nothing is. The errors of net/http do
// not tell. c may be nil.
func (c *conn) cause(err error) error {
	if c == nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return c.failed
	}
	return err
}

// check checks the bytes that belong to header sections.
func (c *conn) check(p []byte) error {
	for len(p) > 0 && c.head != nil {
		n, done, err := c.head.scan(p)
		if err != nil {
			return err
		}
		p = p[n:]
		switch {
		case done && c.head.isInterim():
			c.head.next()
		case done:
			c.head = nil
		}
	}
	return nil
}
