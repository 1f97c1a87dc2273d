#!/bin/sh
# Builds the stand-in that the scripts of this folder start.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/standin ./review/standin
