#!/bin/sh
# Builds the stand-ins that the scripts start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/bin/review-case ./review/standin
