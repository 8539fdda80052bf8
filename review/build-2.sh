#!/bin/sh
# Builds the stand-ins of review/harness-2 into target/review-2. Needs a JDK 17 and nothing else.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/harness-2/*.java
