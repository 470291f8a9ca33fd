#!/bin/sh
# Builds what the scripts of cases 4 to 8 start beside the product, which the deploy file's build line makes.
cd "$(dirname "$0")/.." || exit 1
exec go build -o target/review-2/ ./review/standin-2 ./cmd/lilacvane-lab
