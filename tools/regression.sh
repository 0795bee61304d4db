#!/usr/bin/env bash
# Plays the regression set of the users' bench and prints one table: the standard days
# of every deployment that is in force. Usage, in a clean checkout:
#   tools/regression.sh SYSTEM-FOLDER WHY [--quick]
# SYSTEM-FOLDER is the users' folder with the site files and the bench. Entries for the
# journal are left in journal/. Takes about 15 minutes on six cores; with --quick 8.
set -euo pipefail
cd "$(dirname "$0")/.."
system=$1 why=$2 quick=${3:-}
bench=$(ls "$system"/more/bench-*/bin/fleetbench)
# krs-search-large replaces krs-search, the oldest deployment.
for site in large/krs-search-large sites/matrita-cauta grown/krs-search-grown grown/matrita-cauta-grown \
  further/mnttla-ladder further-grown/mnttla-ladder-grown; do
  "$bench" score "$system/$site.toml" ${quick:+"$quick"} --jobs 3 --why "$why" 2>&1 |
    awk -v site="$(basename "$site")" '/^(quiet|trouble|scale|fresh)-[^ ]+ +[0-9]+\/[0-9]/ { printf "%-22s %-12s worth %s served %s refused %s failed %s\n", site, $1, $4, $5, $6, $7 }
      /^GATE|BROKEN|broken|given up/ { printf "%-22s %s\n", site, $0 }'
done
