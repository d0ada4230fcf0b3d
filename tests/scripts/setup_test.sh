#!/usr/bin/env bash
# Guards against a setup script that takes unknown packages for installed ones, as on a new machine.
set -euo pipefail
Setup="$(dirname "$0")/../../scripts/setup"
Empty=$(mktemp -d)
trap 'rm -rf "$Empty"' EXIT
mkdir -p "$Empty/info" "$Empty/updates" "$Empty/triggers"
touch "$Empty/status" "$Empty/available"
if DPKG_ADMINDIR=$Empty "$Setup" --check; then
  echo "setup found no package missing in an empty package database" >&2
  exit 1
fi
"$Setup" --check
