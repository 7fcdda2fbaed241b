#!/bin/sh
# Builds the stand-ins of the scripts: one program, which uses only the standard library.
set -e
cd "$(dirname "$0")/rig"
go build -buildvcs=false -o ../../target/review-rig .
