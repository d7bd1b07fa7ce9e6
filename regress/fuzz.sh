#!/bin/sh
# Runs the fuzz programs one after the other; called by "make fuzz". Leak checking needs
# ptrace, which may be refused: DETECT_LEAKS=0 leaves it out.
set -u
export ASAN_OPTIONS=abort_on_error=1:detect_leaks=${DETECT_LEAKS:-1}
export UBSAN_OPTIONS=halt_on_error=1:abort_on_error=1:print_stacktrace=1
bad=0
for f in "${BUILD:-build-san}"/bin/test_fuzz_*; do
	"$f" || { echo "failed: $f with FUZZ_SEED=${FUZZ_SEED:-1}"; bad=1; }
done
exit $bad
