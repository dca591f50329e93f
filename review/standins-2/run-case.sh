#!/bin/sh
# Plays a case of standins-2: run-case.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd)
root=$(CDPATH= cd -- "$here/../.." && pwd)
if [ ! -d "$here/target/classes" ] || [ ! -f "$root/router/target/tidebank.jar" ]; then
  echo "not built yet: the deploy file's build and review/build-2.sh come first" >&2
  exit 2
fi
work=$(mktemp -d) || exit 2

# Ends what the case has started, by the ids that it noted, should it have ended without doing so.
end_all() {
  kill "$case_pid" 2>/dev/null
  wait "$case_pid" 2>/dev/null
  if [ -f "$work/pids" ]; then
    while read -r pid; do
      if grep -qa tidebank "/proc/$pid/cmdline" 2>/dev/null; then kill -KILL "$pid" 2>/dev/null; fi
    done < "$work/pids"
  fi
  rm -rf "$work"
}

java -XX:+UseSerialGC -Xmx256m -cp "$here/target/classes" "standins.$1" "$root" "$2" "$work" &
case_pid=$!
trap 'end_all; exit 2' INT TERM HUP
wait "$case_pid"
code=$?
end_all
case $code in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
