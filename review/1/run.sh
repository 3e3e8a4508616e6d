#!/bin/sh
# Plays the case and writes record.txt beside this file; TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD"
export PYTHONPATH
python3 -c "import review.common.keyed" || exit 2
exec python3 review/1/case.py
