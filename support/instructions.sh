#!/usr/bin/env bash
# Instructions of each decision on a request's path: callgrind counts at two
# repetitions, the difference divided. Usage: instructions.sh BENCH
set -eu
bench=$1
count() { # NAME REPETITIONS
  valgrind --tool=callgrind --callgrind-out-file=/dev/null "$bench" capacity \
    operation "$1" "$2" 2>&1 | sed -n 's/.*Collected : \([0-9]*\).*/\1/p'
}
echo "| operation | instructions |"
echo "|---|---|"
for name in hash_key find_rule take_token choose_endpoint record_service_level; do
  once=$(count "$name" 200)
  twice=$(count "$name" 400)
  echo "| $name | $(((twice - once) / 200)) |"
done
