#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15, in the repository's root.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for scenario in review/1[1-5]/scenario.cpp; do
    [ -e "$scenario" ] || continue
    number=$(basename "$(dirname "$scenario")")
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -o "target/review-3/case-$number" "$scenario"
done
