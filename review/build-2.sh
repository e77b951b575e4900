#!/bin/sh
# Builds the programs of the cases of the second review, after the build of the deploy file. Each holds the
# stand-ins of its case: those of the project, served by the package rig.
set -e
cd "$(dirname "$0")/.."
for dir in review/[4-6]/; do
  n=$(basename "$dir")
  go build -o "target/review/case$n" "./review/$n"
done
