#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into review/build/standin-2/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build/standin-2
compiler=${CXX:-g++}
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
common=(standin-2/http.cpp standin-2/stage.cpp standin-2/store.cpp standin-2/searcher.cpp)
objects=()
for source in "${common[@]}"; do
    object=build/standin-2/$(basename "$source" .cpp).o
    "$compiler" "${flags[@]}" -c "$source" -o "$object" &
    objects+=("$object")
done
for job in $(jobs -p); do
    wait "$job"
done
for program in freeze badentry truncated shutdown allowance early; do
    "$compiler" "${flags[@]}" "standin-2/$program.cpp" "${objects[@]}" \
        -o "build/standin-2/$program" &
done
for job in $(jobs -p); do
    wait "$job"
done
