package keepalive

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/testpeer"
)

const (
	// maxUnacknowledged is that of the connections under test.
	maxUnacknowledged = 500 * time.Millisecond
	// senderVariable makes the test binary send a message to the address that follows the
	// separator, with the dialer that is named before it, and then wait.
	senderVariable  = "JUJUBESHED_TEST_SENDER"
	senderSeparator = "@"
)

func TestMain(m *testing.M) {
	if name, address, ok := strings.Cut(os.Getenv(senderVariable), senderSeparator); ok {
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
	dial := map[string]func(ctx context.Context, network, address string) (net.Conn, error){
		"ordinary":          Dialer(time.Second).DialContext,
		"discards":          DiscardingDialer(time.Second, maxUnacknowledged).DialContext,
		"discards on close": DiscardingDialFunc(time.Second),
	}[dialer]
	c, err := dial(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	_, err = c.Write(make([]byte, testpeer.HeldBytes))
	return c, err
}

// TestAbandonedBytesAreDiscarded checks that a message that its sender's kernel still holds doesn't
// arrive once its sender has closed the connection, was killed, or was stopped for a while. With
// an ordinary connection it does, which shows that the kernel holds it. A connection that discards
// on its close alone does so in that case.
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
	discardsOn := map[string][]string{"ordinary": nil, "discards": {"closed", "killed", "stopped"}, "discards on close": {"closed"}}
	for ending, abandon := range endings {
		for dialer, discards := range discardsOn {
			t.Run(ending+"/"+dialer, func(t *testing.T) {
				peer := testpeer.NewUnread(t)
				abandon(t, dialer, peer.Address())
				n, err := io.CopyN(io.Discard, peer.Accept(t), testpeer.HeldBytes)
				if arrived := n == testpeer.HeldBytes; arrived == slices.Contains(discards, ending) {
					t.Errorf("%d of %d bytes arrived, error %v", n, testpeer.HeldBytes, err)
				}
			})
		}
	}
}

// startSender starts a process that sends a message, and waits until its kernel has it.
func startSender(t *testing.T, dialer, address string) *exec.Cmd {
	t.Helper()
	p := exec.Command(os.Args[0])
	p.Env = append(os.Environ(), senderVariable+"="+dialer+senderSeparator+address)
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
