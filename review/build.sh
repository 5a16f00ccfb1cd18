#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the review's scripts into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++20 -O2 -Wall -Wextra -I. -c standin/world.cpp -o build/world.o
for scenario in */scenario.cpp; do
    case=$(dirname "$scenario")
    g++ -std=c++20 -O2 -Wall -Wextra -I. "$scenario" build/world.o -pthread -o "build/scenario-$case"
done
