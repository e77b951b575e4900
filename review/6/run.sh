#!/bin/sh
# Runs the case. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. With TROUBLE=0 it
# runs without the disruption; with KEEP_LOGS=1 the controllers' logs are kept in the temporary folder.
cd "$(dirname "$0")" || exit 2
case=../../target/review/case6
if [ ! -x "$case" ] || [ ! -x ../../target/tamarindlead ]; then
  echo "build the deploy file's program, then run review/build-2.sh" >&2
  exit 2
fi
exec "$case"
