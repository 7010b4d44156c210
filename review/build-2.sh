#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python and need only what the
# build of the deploy file has put into target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review/standins2"
PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH PYTHONDONTWRITEBYTECODE
python3 -c "import estate, briarspoke.entry.process"
