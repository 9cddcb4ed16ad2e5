#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the third review's cases into target/review-3. Needs a C++20 compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/Case.cc; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    c++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/stand-ins-3 "$source" -o "target/review-3/case-$number"
done
