#!/bin/sh
# Builds the drivers of cases 4 to 6, which hold all stand-ins that these cases start, into bin/. They
# need this repository and the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
for n in 4 5 6; do
	go build -tags review -o "bin/review-case-$n" "./review/$n"
done
