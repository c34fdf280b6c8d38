#!/bin/bash
# Builds what the scripts of the cases 6 to 10 start beside the project's own programs: one
# program with the clients and the stand-ins of the store and the replicas (package
# platform/standin). It needs no network and no module but the project's own.
set -e
cd "$(dirname "$0")/.."
go build -tags review2 -o review/kit-2/bin/kit-2 ./review/kit-2
