#!/usr/bin/env bash
# Compiles the stand-ins and the cases of this folder into review/build, with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -nowarn -d build harness/*.java $(ls [1-9]/*.java 2>/dev/null)
