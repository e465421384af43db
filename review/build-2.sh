#!/bin/sh
# Builds what the scripts of review/4 to review/8 start: stand-ins in Python, on the
# packages that the build of the deploy file has put into target/deps.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps"
python3 -m compileall -q standins review/support_2
python3 -c "
import standins.platform_store
import review.support_2.harness
import review.support_2.server
"
