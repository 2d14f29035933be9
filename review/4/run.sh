#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# What was sent, answered and run is written to record.txt beside this script.
# TROUBLE=0 leaves the disruption out. KEEP_LOGS=1 keeps the logs of the processes.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/juniperhollow-platform ] && [ -x target/review-2/models ] || exit 2
timeout -k 1 117 target/review-2/models review/4/record.txt
code=$?
[ $code -le 1 ] && exit $code
exit 2
