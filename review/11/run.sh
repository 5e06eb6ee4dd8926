#!/usr/bin/env bash
# Both control machines of one zone freeze for 7.8 s, no more than faultTolerance allows, and the
# operator adds a route at the others. Exits with 1 if an entry instance of that zone answers 404
# for the route later than the rule allows, 0 if none does, and 2 if the case could not run.
# TROUBLE=0 leaves the freeze out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/snipenode ] && [ -x target/review-3/trial ] || { echo "build first: deploy/system.toml, review/build-3.sh" >&2; exit 2; }
exec target/review-3/trial freeze target/snipenode review/11/record.txt
