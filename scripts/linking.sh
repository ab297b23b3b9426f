#!/bin/sh
# Checks that the programs are linked to the C library dynamically.
set -eu
dir="$(mktemp -d)"
trap 'rm -rf "$dir"' EXIT
CGO_ENABLED=1 go build -o "$dir/" . ./emulator
for program in "$dir"/*; do
  if ! readelf -d "$program" | grep -q 'NEEDED.*libc\.so'; then
    echo "$(basename "$program") is not linked to libc dynamically"
    exit 1
  fi
done
