#!/bin/sh
# Builds the stand-ins of the third review's scripts into target/bin.
set -e
cd "$(dirname "$0")/.."
go build -tags review3 -o target/bin/review-kit-3 ./review/kit-3
