#!/bin/sh
# Builds the stand-ins of the scripts into target/, beside the program itself.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -trimpath -ldflags=-linkmode=external -o target/review-trial ./review/trial
