#!/bin/sh
# Plays a case of standins-2: run-case.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd)
root=$(CDPATH= cd -- "$here/../.." && pwd)
if [ ! -d "$here/target/classes" ] || [ ! -f "$root/router/target/tidebank.jar" ]; then
  echo "not built yet: the deploy file's build and review/build-2.sh come first" >&2
  exit 2
fi
java -XX:+UseSerialGC -Xmx256m -cp "$here/target/classes" "standins.$1" "$root" "$2" &
case_pid=$!
trap 'kill "$case_pid" 2>/dev/null' INT TERM HUP
wait "$case_pid"
code=$?
trap - INT TERM HUP
case $code in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
