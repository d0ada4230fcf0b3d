#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for Source in review/standins-2/*.cc; do
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review-2/$(basename "$Source" .cc)" "$Source"
done
