#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the store stays; the machines are stopped and started in turn all the same.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/reviewkit.py ] || { echo 'run review/build-2.sh first' >&2; exit 2; }
REVIEW_ROOT=$PWD PYTHONPATH=target/review-2 exec python3 -B review/8/case.py
