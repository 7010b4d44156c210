#!/bin/sh
# Compiles the stand-ins of the cases, which need no other build.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
