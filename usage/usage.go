package usage

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const kilobyte = 1024

// ProcessorSeconds returns the processor time of this process so far.
func ProcessorSeconds() float64 {
	var used syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &used) != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano()).Seconds()
}

// ResidentBytes returns the resident memory of this process after a collection;
// 0 where the system does not tell.
func ResidentBytes() float64 {
	runtime.GC()
	content, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		rest, found := strings.CutPrefix(line, "VmRSS:")
		if !found {
			continue
		}
		count, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 64)
		if err != nil {
			return 0
		}
		return count * kilobyte
	}
	return 0
}
