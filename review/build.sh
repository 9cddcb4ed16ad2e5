#!/bin/sh
# Builds the stand-ins that the scripts of this review start, into target/review/. The program itself is built by the
# build of the deploy file.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target/review
for source in */case.cc; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -pthread -Wall -Wextra -Wno-psabi -o "../target/review/case-$(dirname "$source")" "$source"
done
