#!/usr/bin/env bash
# Plays one case: play.sh CLASS FOLDER. The router is started by the line `run` of the deploy file.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
set -u
class=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.."
REPOSITORY=$(pwd)
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
if [ ! -f router/target/tidebank.jar ] || [ ! -f "review/target/$class.class" ] || [ -z "$RUN_COMMAND" ]; then
  echo "not built: run the deploy file's build and review/build.sh first"
  exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export REPOSITORY RUN_COMMAND CASE_TMP
options=
if [ "$class" = HalfWritten ]; then
  options="--add-modules jdk.incubator.foreign --enable-native-access=ALL-UNNAMED --add-opens java.base/sun.nio.ch=ALL-UNNAMED"
fi
# shellcheck disable=SC2086
timeout -k 3 110 java -Xmx256m $options -cp review/target "$class" "$folder" 2>"$CASE_TMP/errors"
code=$?
if [ "$code" != 0 ] && [ "$code" != 1 ]; then
  cat "$CASE_TMP/errors"
fi
for pid in $(cat "$CASE_TMP/pids" 2>/dev/null); do
  # Only what this run has started and not yet ended: a child of init now, with this run's folder in its environment.
  if grep -qs "CASE_TMP=$CASE_TMP" "/proc/$pid/environ"; then
    kill -CONT "$pid"
    kill -KILL "$pid"
  fi
done
rm -rf "$CASE_TMP"
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
