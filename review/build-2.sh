#!/bin/sh
# Builds the stand-ins of the second review, without a network. The cases also need the build of the deploy file.
set -e
cd "$(dirname "$0")/stand-ins-2"
cargo build --release --offline --locked
