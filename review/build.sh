#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. They use the standard library alone, so that no network is needed.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for name in rig wire; do
  rustc --edition 2021 -O -o "bin/$name" "standin/$name.rs"
done
