#!/bin/sh
# Builds the stand-ins of cases 4 and following, after the build of the deploy file. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = rig ] && continue
    rustc -O --edition 2021 "$source" -o "target/review-2/$name"
done
