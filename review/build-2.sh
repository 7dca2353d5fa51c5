#!/bin/sh
# Builds what the cases of the second review start beside the programs of the deploy file: one
# program with the drivers and all stand-ins, from this repository and the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-lab2 ./review/lab2
