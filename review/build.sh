#!/bin/sh
# Builds the stand-ins of the scripts. The project's own store is linked into it.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/standin ./review/standin
