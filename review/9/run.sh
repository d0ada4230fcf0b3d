#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the
# same is done without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/long_trailer ] && [ -x target/bronzestandd ] || exit 2
Folder=$(mktemp -d) || exit 2
trap 'rm -rf "$Folder"' EXIT
timeout -k 2 110 target/review-2/long_trailer "$Folder" review/9/record.txt "${TROUBLE:-1}"
Code=$?
case $Code in 0|1) exit $Code ;; *) exit 2 ;; esac
