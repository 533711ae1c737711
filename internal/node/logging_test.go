package node

import (
	"bytes"
	"errors"
	"testing"

	"github.com/apex/log"
	"github.com/matryer/is"
)

// TestLogInAFileIsReadAsKeyValuePairs guards against escape sequences of a terminal in files.
func TestLogInAFileIsReadAsKeyValuePairs(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	logger := &log.Logger{Handler: keyValueLog(&output), Level: log.InfoLevel}
	logger.WithFields(log.Fields{"role": "edge", "seeds": []string{"a:1", "b:2"}}).WithError(errors.New("two words")).Warn("not ready")
	is.Equal(output.String(), "level=warn message=\"not ready\" error=\"two words\" role=edge seeds=\"[a:1 b:2]\"\n")
}
