package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startTimeout bounds the start of a fleet and is far longer than a passing run needs.
const startTimeout = 30 * time.Second

// TestFleetStarts checks that a fleet starts and reports its hosts' addresses.
func TestFleetStarts(t *testing.T) {
	is := is.New(t)
	program := filepath.Join(t.TempDir(), "kumquathoist")
	output, err := exec.Command("go", "build", "-o", program, "..").CombinedOutput()
	if err != nil {
		t.Fatalf("building the daemon: %v\n%s", err, output)
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	result := make(chan string, 1)
	go func() {
		text, err := measureFleet(ctx, fleetOptions{program: program}, 2, func(_ context.Context, f *fleet) (string, error) {
			for _, h := range f.hosts {
				if h.callers == "" || h.operators == "" {
					return "", os.ErrNotExist
				}
			}
			return fmt.Sprint(len(f.hosts)), nil
		})
		if err != nil {
			text = err.Error()
		}
		result <- text
	}()
	select {
	case text := <-result:
		is.Equal(text, "2")
	case <-ctx.Done():
		t.Error("the fleet did not start")
	}
}
