#!/bin/bash
# Builds the stand-ins of the review's second part, review/6 to review/10, into build/review-2. They use the
# C++ standard library and the system's sockets alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/stand_ins_2/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/review-2/$name"
done
