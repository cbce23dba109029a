#!/usr/bin/env bash
# Needs the build of the deploy file and review/build-2.sh.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec build-review-2/case-10
