#!/bin/sh
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
if [ ! -x review/standins-3/bin/standins ] || [ ! -x target/zinniafalld ]; then
	echo "review/standins-3/bin/standins or target/zinniafalld is missing: see claim.txt" | tee "$here/record.txt" >&2
	exit 2
fi
exec review/standins-3/bin/standins upload "$here/record.txt"
