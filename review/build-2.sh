#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are
# Python, so that it is only checked that all of them can be loaded with the
# libraries of the deploy file.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=.:target/deps exec python3 -B -c '
from platform_standins import store
from review.shared2 import clients
from review.shared2 import keyed
from review.shared2 import links
from review.shared2 import upstreams
from review.shared2 import world
'
