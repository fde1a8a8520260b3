#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review/. Needs the compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -o "target/review/case-$number" "$source" &
    builds+=($!)
done
for build in "${builds[@]}"; do
    wait "$build"
done
