#!/usr/bin/env bash
# Builds the stand-ins and the cases into review/target. Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -Xlint:all,-serial --add-modules jdk.incubator.foreign -d target standins/*.java [0-9]*/*.java
