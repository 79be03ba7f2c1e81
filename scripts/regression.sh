#!/usr/bin/env bash
# Plays the standard days of deployments one by one on the users' bench, and writes
# a line for each to a table. A day that is in the table is not played again, so
# that a run that was stopped goes on where it was. It waits while less than half
# of the machine's memory is free, and stops at a broken rule.
#
#   scripts/regression.sh BENCH TABLE SITE...          play
#   scripts/regression.sh compare BEFORE AFTER         a Markdown table of both
#
# The table has tab-separated columns: site, day, worth, served, prices, result.
set -euo pipefail

usage() { sed -n '2,11p' "$0" >&2; exit 2; }

compare() {
  echo "| deployment | day | worth before | after | prices before | after | rules |"
  echo "| --- | --- | --- | --- | --- | --- | --- |"
  awk -F'\t' 'NR == FNR { w[$1 FS $2] = $3; p[$1 FS $2] = $5; next }
    { k = $1 FS $2
      printf "| %s | %s | %s | %s | %s | %s | %s |\n", $1, $2, (k in w) ? w[k] : "not played", $3, (k in p) ? p[k] : "", $5, $6
      if (k in w && $2 !~ /^quiet/) { b[$1] += w[k]; a[$1] += $3; n[$1]++ } }
    END { for (s in n) printf "| %s | mean with trouble, %d days | %.3f | %.3f | | | |\n", s, n[s], b[s] / n[s], a[s] / n[s] }' "$1" "$2"
}

wait_for_memory() {
  while awk '/^MemTotal/ { t = $2 } /^MemAvailable/ { a = $2 } END { exit !(a < t / 2) }' /proc/meminfo; do
    sleep 10
  done
}

play() {
  local bench=$1 table=$2 site=$3 name day out line
  name=$(basename "$site" .toml)
  for day in $(awk '/^\[\[day\]\]/ { d = 1 } d && /^name = / { gsub(/"/, "", $3); print $3; d = 0 }' "$site"); do
    if [ -f "$table" ] && grep -qP "^$name\t$day\t" "$table"; then continue; fi
    wait_for_memory
    out=$("$bench" run "$site" "$day" --why "Regression run: $name $day" 2>&1) || true
    line=$(grep -m 1 -E "^$day +[0-9]+/" <<<"$out") || { echo "$name $day: no result" >&2; tail -5 <<<"$out" >&2; exit 1; }
    local broken=kept
    if grep -q BROKEN <<<"$line"; then broken=$(grep -o 'BROKEN.*' <<<"$line"); fi
    awk -v site="$name" -v broken="$broken" '{
      for (i = 1; i < NF; i++) if ($i == "prices") prices = $(i + 1)
      sub(/[;,]$/, "", prices); printf "%s\t%s\t%s\t%s\t%s\t%s\n", site, $1, $4, $5, prices, broken }' <<<"$line" | tee -a "$table"
    if [ "$broken" != kept ]; then echo "a rule is broken; stopped" >&2; exit 1; fi
  done
}

[ $# -ge 3 ] || usage
if [ "$1" = compare ]; then
  compare "$2" "$3"
  exit
fi
bench=$1 table=$2
shift 2
for site in "$@"; do play "$bench" "$table" "$site"; done
