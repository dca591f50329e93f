#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into standins-2/target; needs a JDK and nothing else.
here=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd)
rm -rf "$here/standins-2/target"
mkdir -p "$here/standins-2/target/classes"
exec javac -Xlint:all --release 17 -d "$here/standins-2/target/classes" "$here"/standins-2/src/standins/*.java
