#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. What was sent, answered and run stands in record.txt beside this script. The nodes'
# settings and logs live in a temporary folder; KEEP_LOGS=1 keeps it.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-8 ] && [ -x target/release/mustardpin-platform ] || exit 2
timeout -k 5 110 target/review-2/case-8 review/8
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
