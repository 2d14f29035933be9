#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, with the standard library alone. The programs of the
# deploy file are built by its own command.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in models foreign silence departure weights; do
    rustc --edition 2024 -O -o "target/review-2/$case" "review/standin-2/$case.rs"
done
