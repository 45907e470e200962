#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# the disruption is left out.
set -m
cd "$(dirname "$0")/../.." || exit 2
target/review/harness displaced-engine review/5/record.txt &
trap 'kill -KILL -- "-$!"' INT TERM
wait "$!"
