#!/usr/bin/env bash
# Builds the programs of the cases. The stand-ins are part of them: the project's own fakes, given a
# network by the package standin. The controllers are built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]; do
  go build -o "target/$folder" "./$folder"
done
