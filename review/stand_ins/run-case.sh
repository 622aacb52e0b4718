#!/bin/bash
# Runs one case: run-case.sh N. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
# With TROUBLE=0 the disruption is left out.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
case=$1
# The command with which the operators start an instance.
run=$(sed -n 's/^run *= *"\(.*\)" *\(#.*\)\{0,1\}$/\1/p' deploy/balancer.toml)
if [ -z "$run" ] || [ ! -x build/myrtlehead ] || [ ! -x "build/review/case$case" ]; then
  echo "build the project by the deploy file, then run review/build.sh" >&2
  exit 2
fi
# Beside the build and not in TMPDIR, because a register store belongs on a disk that lasts.
folder=$(mktemp -d "$PWD/build/review/case-XXXXXX") || exit 2
export CASE_RUN=$run CASE_FOLDER=$folder CASE_RECORD=review/$case/record.txt TROUBLE=${TROUBLE:-1}
"build/review/case$case" > "$folder/output" 2>&1 &
pid=$!
# The instances end with the case that started them.
trap 'kill -KILL "$pid" 2> /dev/null; rm -rf "$folder"' EXIT
for _ in $(seq 1150); do
  if ! kill -0 "$pid" 2> /dev/null; then break; fi
  sleep 0.1
done
if kill -0 "$pid" 2> /dev/null; then
  echo "the case took too long" >&2
  exit 2
fi
wait "$pid"
result=$?
tail -n 3 "$CASE_RECORD"
if [ -n "${CASE_KEEP:-}" ]; then mkdir -p "$CASE_KEEP" && cp -r "$folder/." "$CASE_KEEP/"; fi
if [ "$result" -gt 2 ]; then exit 2; fi
exit "$result"
