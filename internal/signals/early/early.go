// Package early takes the signals of a daemon before most packages are initialised. The main
// packages of daemons import it for that effect alone.
package early

import "fordseam/internal/signals"

func init() { signals.Hold() }
