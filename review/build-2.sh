#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Run the build of the deploy file first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/6/case.cpp review/7/case.cpp review/8/case.cpp review/9/case.cpp review/10/case.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -o "target/review-2/$number" "$source"
done
