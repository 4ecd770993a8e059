#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same prompts, none of whose parts crashes engines.
# PARTS=N: states N parts in each of these prompts, 200 by default.
# CRASH_AFTER_S=T: engines crash T seconds after the first event, 0 by default.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/reviewkit.py ] || { echo 'run review/build-2.sh first' >&2; exit 2; }
REVIEW_ROOT=$PWD PYTHONPATH=target/review-2 exec python3 -B review/7/case.py
