#!/usr/bin/env bash
# Builds the plays of the cases 11 to 15 and the stand-ins that they hold, after
# the build of the deploy file, whose folder target/build is used.
set -euo pipefail
cd "$(dirname "$0")/.."

cmake --build target/build --target gypsumtrack_testing -j6
out=target/review-3
mkdir -p "$out"
includes=()
for folder in packages/*/include platform/include; do
  if [ -d "$folder" ]; then includes+=("-I$folder"); fi
done
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers
  -Wno-maybe-uninitialized -DBOOST_ASIO_NO_DEPRECATED
  -DBOOST_ASIO_DISABLE_IO_URING -DBOOST_ASIO_DISABLE_STD_ALIGNED_ALLOC
  "-DGYPSUMTRACK_VERSION=\"0\"")
pids=()
for source in review/lib-3/*.cc packages/testing/soak/daemon_process.cc \
  packages/testing/soak/soak_http.cc; do
  g++ "${flags[@]}" "${includes[@]}" -c "$source" \
    -o "$out/$(basename "$source" .cc).o" &
  pids+=($!)
done
for case_directory in review/1[1-5]; do
  if [ -e "$case_directory/play.cc" ]; then
    g++ "${flags[@]}" "${includes[@]}" -c "$case_directory/play.cc" \
      -o "$out/play-$(basename "$case_directory").o" &
    pids+=($!)
  fi
done
for pid in "${pids[@]}"; do wait "$pid"; done
packages=target/build/packages
for play in "$out"/play-*.o; do
  g++ -o "${play%.o}" "$play" "$out"/site.o "$out"/daemon_process.o \
    "$out"/soak_http.o "$packages"/testing/libgypsumtrack_testing.a \
    "$packages"/gateway/libgypsumtrack_gateway.a \
    "$packages"/telemetry/libgypsumtrack_telemetry.a \
    "$packages"/peer/libgypsumtrack_peer.a \
    "$packages"/platform/libgypsumtrack_platform.a \
    "$packages"/policy/libgypsumtrack_policy.a \
    "$packages"/base/libgypsumtrack_base.a \
    -lboost_json -lboost_url -ljsonrpccpp-common -ljsonrpccpp-server \
    -ljsonrpccpp-client -ljsoncpp -lfmt -lurcu-memb -lurcu -lssl -lcrypto \
    -lxxhash -lpthread
done
