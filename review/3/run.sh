#!/bin/sh
# TROUBLE=0 plays the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
export PYTHONPATH="target/deps:."
export PYTHONDONTWRITEBYTECODE=1
exec python3 -m "review.$(basename "$folder").case"
