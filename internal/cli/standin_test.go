package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/standin/control"
	standinplatform "github.com/jujubeshed/jujubeshed/internal/standin/platform"
)

// runStandin starts a stand-in and returns its address and a channel that receives its
// exit code.
func runStandin(t *testing.T, args ...string) (string, <-chan int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	out, in := io.Pipe()
	code, ended := make(chan int, 1), make(chan struct{})
	go func() {
		defer close(ended)
		code <- Run(ctx, append([]string{"jujubeshed", "standin"}, args...), in, io.Discard)
		_ = in.Close()
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	var address string
	if _, err := fmt.Fscanf(out, "listening %s\n", &address); err != nil {
		t.Fatalf("%v: %v", args, err)
	}
	return address, code
}

// TestStandinHostsRegisterAndEndOnReclaim registers two endpoints through the
// command line and reclaims the host of one, whose process must then exit with code 0.
func TestStandinHostsRegisterAndEndOnReclaim(t *testing.T) {
	ctx := context.Background()
	p, _ := runStandin(t, "platform")
	e, code := runStandin(t, "engine", "--platform", p, "--host", "h1", "--data-centre", "evosmos", "--service", "verse", "--version", "7")
	runStandin(t, "service", "--platform", p, "--host", "h2", "--data-centre", "thermi", "--service", "desk")
	c, err := platformapi.NewClient(platformapi.ClientOptions{Address: p})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	hosts := func(n int) []platformapi.HostInfo {
		for range 2000 {
			if list, err := c.ListHosts(ctx); err == nil && len(list) == n {
				return list
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.Fatalf("the list did not reach %d hosts", n)
		return nil
	}
	got := hosts(2)[0]
	want := platformapi.EndpointInfo{ID: "h1", Address: e, Kind: platformapi.KindEngine, Service: "verse", Version: "7"}
	if got.Host != "h1" || got.DataCentre != "evosmos" || !got.Reclaimable || len(got.Endpoints) != 1 || got.Endpoints[0] != want {
		t.Errorf("host = %+v", got)
	}
	err = control.Post(ctx, p, standinplatform.PathReclaim, standinplatform.Reclaim{Host: ident.Host("h1"), Notice: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if c := <-code; c != ExitOK {
		t.Errorf("exit code %d", c)
	}
	hosts(1)
}

func TestStandinRejectsInvalidFlags(t *testing.T) {
	for args, want := range map[string]string{
		"platform --faults {\"storm\":1}":         `--faults "{\"storm\":1}"`,
		"platform --listen nowhere":               `--listen "nowhere"`,
		"engine --speed -1":                       "--speed -1",
		"service --platform 127.0.0.1:1 --host h": `--data-centre ""`,
	} {
		var stderr bytes.Buffer
		code := Run(context.Background(), append([]string{"jujubeshed", "standin"}, strings.Fields(args)...), io.Discard, &stderr)
		if code != ExitUsage || !strings.Contains(stderr.String(), want) {
			t.Errorf("%s: exit code %d, %q; want %q", args, code, stderr.String(), want)
		}
	}
}
