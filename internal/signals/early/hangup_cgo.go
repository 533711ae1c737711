package early

/*
#include <signal.h>

// The C library runs this before the Go runtime, whose default action for SIGHUP ends the
// process until a package asks for the signal.
__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
