#!/usr/bin/env bash
# Plays one case: play.sh CLASS RECORD. The router is started by the line `run` of the deploy file.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. What it has started ends with it.
set -u
class=$1
record=$2
cd "$(dirname "$0")/../.." || exit 2
REPOSITORY=$(pwd)
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
if [ ! -f router/target/tidebank.jar ] || [ ! -f "review/target/$class.class" ] || [ -z "$RUN_COMMAND" ]; then
  echo "not built: run the deploy file's build and review/build.sh first" | tee -a "$record"
  exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export REPOSITORY RUN_COMMAND CASE_TMP

# Ends the stand-ins, which end their routers, and then whatever router is left. Only what this run has started is signalled: a
# router has this run's folder in its environment.
finish() {
  trap '' INT TERM HUP
  if [ -n "${player:-}" ]; then
    kill -TERM "$player" 2>/dev/null
    wait "$player" 2>/dev/null
  fi
  for pid in $(cat "$CASE_TMP/pids" 2>/dev/null); do
    if grep -qs "CASE_TMP=$CASE_TMP" "/proc/$pid/environ"; then
      kill -KILL "$pid" 2>/dev/null
    fi
  done
  rm -rf "$CASE_TMP"
}
trap finish EXIT
trap 'echo "interrupted" >>"$record"; exit 2' INT TERM HUP

options=
if [ "$class" = HalfWritten ]; then
  options="--add-modules jdk.incubator.foreign --enable-native-access=ALL-UNNAMED --add-opens java.base/sun.nio.ch=ALL-UNNAMED"
fi
# shellcheck disable=SC2086
java -Xmx256m $options -cp review/target "$class" "$record" 2>"$CASE_TMP/errors" &
player=$!
wait "$player"
code=$?
player=
case $code in
  0 | 1) exit $code ;;
esac
tee -a "$record" <"$CASE_TMP/errors"
exit 2
