#!/usr/bin/env bash
# Plays the case once and writes record.txt here. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$here")
cd "$here/../.."
if [ ! -x "target/review-2/play-$number" ] ||
  [ ! -x target/build/bin/gypsumtrackd ]; then
  echo "build first: the command of deploy/system.toml and review/build-2.sh" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
# The processes of the play are one group, so that none outlives it.
set -m
"target/review-2/play-$number" "$folder" "review/$number/record.txt" &
play=$!
trap 'kill -KILL -- "-$play" 2>/dev/null; rm -rf "$folder"' EXIT
trap 'exit 2' INT TERM
wait "$play"
code=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp "$folder"/*.log "$KEEP_LOGS"; fi
if [ "$code" -gt 2 ]; then exit 2; fi
exit "$code"
