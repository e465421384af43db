#!/bin/sh
# Checks that every stand-in of the scripts starts with what the deploy file built.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="target/deps:."
for module in standins.platform_store review.standins.server \
    review.standins.rank_group; do
    python3 -m "$module" --help > /dev/null || exit 1
done
