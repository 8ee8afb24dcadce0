#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I review/lib-2)
libraries=(-lboost_json -lfmt -pthread)
objects=()
jobs=()
for source in review/lib-2/*.cc; do
  object=$out/$(basename "$source" .cc).o
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
for number in 6 7 8 9 10; do
  [ -e "review/$number/play.cc" ] || continue
  g++ "${flags[@]}" "review/$number/play.cc" "${objects[@]}" \
    "${libraries[@]}" -o "$out/play-$number"
done
# What was found beside the five cases.
for source in review/lib-2/findings/*.cc; do
  name=$(basename "$source" .cc)
  g++ "${flags[@]}" "$source" "${objects[@]}" "${libraries[@]}" \
    -o "$out/${name//_/-}"
done
