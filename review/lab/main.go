// Command lab runs the scripted cases of the review against the program of the
// deploy file, with stand-ins for the platform, runners and clients.
//
// Usage:
//
//	lab NAME RECORD
//
// It exits with 1 if the case's rule was broken, 0 if it held and 2 if the case
// could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenario runs a case and returns whether its rule was broken.
type scenario func(w *world, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"takeup": takeUp,
	"nested": nestedRoute,
	"crowd":  crowd,
	"leak":   leak,
	"era":    era,
	"bodies": bodies,
}

// maxTime is the time after which a case that has not ended could not run.
const maxTime = 116 * time.Second

func main() { os.Exit(run()) }

// play runs a case until its end, maxTime or a signal.
func (w *world) play(s scenario) (broken bool, err error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		defer close(done)
		broken, err = s(w, os.Getenv("TROUBLE") != "0")
	}()
	select {
	case <-done:
		return broken, err
	case <-signals:
		return false, errors.New("stopped by a signal")
	case <-time.After(maxTime):
		return false, errors.New("the case takes too long")
	}
}

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab NAME RECORD")
		return 2
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Fprintln(os.Stderr, folder)
	}
	w := &world{folder: folder, program: "target/savoryloft", record: out, start: time.Now(), first: true}
	defer w.close()
	broken, err := w.play(scenarios[os.Args[1]])
	switch {
	case err != nil:
		w.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	case broken:
		w.log("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	w.log("the rule held")
	fmt.Println("the rule held")
	return 0
}
