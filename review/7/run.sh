#!/bin/sh
# Plays the case. 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 executes all writes at once.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/jayfieldd ] && [ -x ../../target/review-standin-2 ] || exit 2
exec ../../target/review-standin-2 revival ../.. record.txt
