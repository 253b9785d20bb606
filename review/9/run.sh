#!/usr/bin/env bash
# Plays case 9. Needs the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/review-2/cases2 ] && [ -x target/cicadacrossd ] || exit 2
exec target/review-2/cases2 poison "$folder/record.txt"
