#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/4 ] && [ -x target/bronzestandd ] || exit 2
exec review/bin/4 review/4/record.txt
