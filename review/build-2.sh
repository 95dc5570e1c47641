#!/bin/sh
# Builds the stand-ins of the cases of the second review. They use the standard library
# only. Run it from the repository's root, after the build of deploy/system.toml.
set -e
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig-2/platform/main.rs
