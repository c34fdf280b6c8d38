#!/bin/sh
# Plays the case of claim.txt; TROUBLE=0 leaves the disruption out. review/build.sh builds
# what it starts. The program writes record.txt in this folder.
cd "$(dirname "$0")" && exec ../../target/bin/review-case part-session .
