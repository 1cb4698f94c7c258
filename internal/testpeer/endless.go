package testpeer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
)

// IDMark stands for the Attempt-Id of the request in the head of an endless response.
const IDMark = "ID"

// blockBytes is the size of the blocks that an endless response is written in.
const blockBytes = 16 << 10

// NewEndless returns the address of a server that answers each request with head, and then with
// piece until the connection is closed. It listens until the test ends.
func NewEndless(t *testing.T, head, piece string) string {
	t.Helper()
	return listen(t, func(c *net.TCPConn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			writeEndless(c, strings.ReplaceAll(head, IDMark, r.Header.Get("Attempt-Id")), piece)
		}
	})
}

func writeEndless(c net.Conn, head, piece string) {
	block := []byte(strings.Repeat(piece, 1+blockBytes/len(piece)))
	_, err := io.WriteString(c, head)
	for err == nil {
		_, err = c.Write(block)
	}
}

// AnswerEndlessly answers a request with the bytes of head, instead of a response by the server, and
// then with piece until the connection is closed.
func AnswerEndlessly(w http.ResponseWriter, head, piece string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	writeEndless(c, head, piece)
}

// MemoryMB returns the memory of a process without the program's file, in MB; zero if it has ended.
func MemoryMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if kb, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			v, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(kb), " kB"))
			if err != nil {
				return 0
			}
			return v / 1024
		}
	}
	return 0
}
