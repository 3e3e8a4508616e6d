#!/bin/sh
# Builds the stand-ins of the scripts, which are Python modules, and checks
# that they can be imported. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD"
export PYTHONPATH
python3 -m compileall -q platform_standins review || exit 1
exec python3 -c "import review.common.keyed"
