#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, with the compiler alone: nothing is fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7 review/8 review/9 review/10; do
    [ -f "$case/case.rs" ] || continue
    rustc --edition 2024 -C opt-level=2 -o "target/review-2/case-${case#review/}" "$case/case.rs"
done
