#!/bin/sh
# Builds the programs of the cases of the second review into target/review/, with the project's
# stand-ins that they start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/emulator ./emulator
for n in 6 7 8 9 10; do
  if [ -f "review/$n/main.go" ]; then
    go build -o "target/review/$n" "./review/$n"
  fi
done
