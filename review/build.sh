#!/bin/sh
# Builds the stand-ins of the cases, from the root of the repository.
set -e
cd "$(dirname "$0")/.."
go build -o target/ ./review/standin
