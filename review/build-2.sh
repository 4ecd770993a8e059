#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10, after the build
# of the deploy file. They need the standard library only.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps/dandelionplank ] || { echo 'target/deps is not built' >&2; exit 2; }
mkdir -p target/review-2
cp review/standins-2/reviewkit.py target/review-2/reviewkit.py
python3 -B -c "compile(open('target/review-2/reviewkit.py').read(), 'reviewkit.py', 'exec')"
