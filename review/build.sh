#!/usr/bin/env bash
# Builds the stand-ins and the cases into review/target. Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
# Only case 2 sets the segment size of sockets, for which it needs a module that other versions of Java lack.
javac -Xlint:all,-serial -d target $(ls standins/*.java [0-9]*/*.java | grep -v Segments)
javac -Xlint:all -cp target -d target --add-modules jdk.incubator.foreign standins/Segments.java \
  || echo "without Segments: case 2 can't run with this Java"
