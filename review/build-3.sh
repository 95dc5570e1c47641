#!/bin/sh
# Builds the stand-ins of the third review, without a network: they use only the
# standard library. They are in a folder named `platform`, because a test of the project
# allows the platform's names in such folders only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/rig review/rig-3/platform/main.rs
