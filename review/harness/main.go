// Scripts of the review: each starts the project's programs, plays a case and
// says whether the rule held.

package main

import (
	"fmt"
	"os"
)

// play is a case: the shape of its fleet, and what it does. An error means that
// it could not run.
type play struct {
	edges, cores, stores int
	run                  func(s *System, trouble bool) error
}

var plays = map[string]play{
	"replaced-stores": {6, 4, 4, replacedStores},
	"idle-line":       {6, 4, 4, idleLine},
	"moved-service":   {6, 4, 4, movedService},
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]].run == nil {
		fmt.Println("usage: harness CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

func run(chosen play, path string) int {
	record, err := NewRecord(path)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	s, err := Begin(record, chosen.edges, chosen.cores, chosen.stores)
	if s != nil {
		defer s.Close()
	}
	if err == nil {
		err = chosen.run(s, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		record.Say("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	broken := record.Broken()
	for _, one := range broken {
		fmt.Println("broken:", one)
	}
	if len(broken) > 0 {
		return 1
	}
	fmt.Println("held")
	return 0
}
