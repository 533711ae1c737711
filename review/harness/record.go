// What was sent, answered and run, line by line with its time.

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file record.txt.
type Record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	broken []string
}

// NewRecord begins the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, began: time.Now()}, err
}

// Say writes one line.
func (r *Record) Say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Break notes that the rule was broken.
func (r *Record) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Say("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// Broken lists what was noted.
func (r *Record) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}
