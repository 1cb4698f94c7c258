package keepalive

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// heldBytes is the size of a message that fits into the buffers of its sender's kernel, but
	// not into those of a peer that doesn't read.
	heldBytes = 64 << 10
	// maxUnacknowledged is that of the connections under test.
	maxUnacknowledged = 500 * time.Millisecond
	// senderVariable makes the test binary send a message with the dialer that is its first word
	// to the address that is the second, and then wait.
	senderVariable = "JUJUBESHED_TEST_SENDER"
)

func TestMain(m *testing.M) {
	if name, address, ok := strings.Cut(os.Getenv(senderVariable), " "); ok {
		if _, err := sendMessage(name, address); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println("sent")
		time.Sleep(time.Minute)
	}
	os.Exit(m.Run())
}

// sendMessage sends a message and returns once the kernel has it.
func sendMessage(dialer, address string) (net.Conn, error) {
	d := Dialer(time.Second)
	if dialer == "discarding" {
		d = DiscardingDialer(time.Second, maxUnacknowledged)
	}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	_, err = c.Write(make([]byte, heldBytes))
	return c, err
}

// listenWithSmallBuffer returns a listener whose connections accept few bytes that are not read.
func listenWithSmallBuffer(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// TestAbandonedBytesAreDiscarded checks that a message that its sender's kernel still holds doesn't
// arrive once its sender has closed the connection, was killed, or was stopped for a while. With
// an ordinary connection it does, which shows that the kernel holds it.
func TestAbandonedBytesAreDiscarded(t *testing.T) {
	endings := map[string]func(t *testing.T, dialer, address string){
		"closed": func(t *testing.T, dialer, address string) {
			c, err := sendMessage(dialer, address)
			if err != nil {
				t.Fatal(err)
			}
			_ = c.Close()
		},
		"killed": func(t *testing.T, dialer, address string) {
			p := startSender(t, dialer, address)
			_ = p.Process.Kill()
			_ = p.Wait()
		},
		"stopped": func(t *testing.T, dialer, address string) {
			p := startSender(t, dialer, address)
			if err := p.Process.Signal(syscall.SIGSTOP); err != nil {
				t.Fatal(err)
			}
			time.Sleep(3 * maxUnacknowledged)
		},
	}
	for ending, abandon := range endings {
		for _, dialer := range []string{"ordinary", "discarding"} {
			t.Run(ending+"/"+dialer, func(t *testing.T) {
				ln := listenWithSmallBuffer(t)
				abandon(t, dialer, ln.Addr().String())
				c, err := ln.Accept()
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = c.Close() }()
				_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
				n, err := io.CopyN(io.Discard, c, heldBytes)
				if arrived := n == heldBytes; arrived != (dialer == "ordinary") {
					t.Errorf("%d of %d bytes arrived, error %v", n, heldBytes, err)
				}
			})
		}
	}
}

// startSender starts a process that sends a message, and waits until its kernel has it.
func startSender(t *testing.T, dialer, address string) *exec.Cmd {
	t.Helper()
	p := exec.Command(os.Args[0])
	p.Env = append(os.Environ(), senderVariable+"="+dialer+" "+address)
	out, err := p.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
	})
	if line, err := bufio.NewReader(out).ReadString('\n'); err != nil || line != "sent\n" {
		t.Fatalf("sender printed %q, error %v", line, err)
	}
	return p
}
