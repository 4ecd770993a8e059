#!/bin/sh
# Builds the stand-ins of the review's scripts. They need the standard library
# only; the gateways run from what the deploy file has built.
set -e
cd "$(dirname "$0")/.."
test -d target/deps/dandelionplank || {
    echo 'build the deploy file first' >&2
    exit 1
}
python3 -m compileall -q review/standins
