#!/usr/bin/env bash
# Plots the recorded measurements docs/measurements/*.csv as SVG files in the
# same directory. Usage: plot.sh [--help]
set -euo pipefail
if [ "${1:-}" = --help ]; then
  sed -n '2,3s/^# //p' "$0"
  exit 0
fi
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/docs/measurements"
header='set datafile separator ","; set datafile columnheaders
set terminal svg size 800,480 dynamic; set grid; set key left top'
draw() { # CSV_NAME SVG_NAME GNUPLOT_COMMANDS
  [ -f "$1.csv" ] || return 0
  printf '%s\n' "$header" "set output '$2.svg'" "$3" | gnuplot
  echo "docs/measurements/$2.svg"
}
draw fleet fleet-convergence "
set title 'Convergence time after a change'
set xlabel 'nodes'; set ylabel 'ms'; set yrange [0:*]
plot for [p in 'fast frugal'] 'fleet.csv' \
  using (strcol('profile') eq p && strcol('fault') eq 'none' ? \
    column('nodes') : NaN):(column('convergence_max_ms')) \
  with points pt 7 title p.' (slowest)', \
  for [p in 'fast frugal'] 'fleet.csv' \
  using (strcol('profile') eq p && strcol('fault') eq 'none' ? \
    column('nodes') : NaN):(column('convergence_p50_ms')) \
  with points pt 6 title p.' (median)'"
draw fleet fleet-bytes "
set title 'Control traffic of a node, sent and received'
set xlabel 'nodes'; set ylabel 'bytes/s'; set yrange [0:*]
plot for [p in 'fast frugal'] 'fleet.csv' \
  using (strcol('profile') eq p && strcol('fault') eq 'none' ? \
    column('nodes') : NaN):(column('control_bytes_per_node_s')) \
  with points pt 7 title p"
draw call call "
set title 'Latency that two nodes add to a call'
set xlabel 'run'; set ylabel 'ms'; set yrange [0:*]
plot 'call.csv' using 0:(column('added_p50_ms')) with linespoints pt 6 \
  title 'p50', '' using 0:(column('added_p99_ms')) with linespoints pt 7 \
  title 'p99'"
draw overload overload "
set title 'Goodput at 3 times capacity, as a fraction of the peak'
set xlabel 'run'; set ylabel 'ratio'; set yrange [0:1.1]
plot 'overload.csv' using 0:(column('goodput_ratio')) with linespoints pt 7 \
  notitle"
draw faults faults "
set title 'Faults under load'
set xlabel 'run'; set ylabel 'requests'; set yrange [0:*]
plot for [c in 'doubled false_not_run crossed lost_answers cut_by_drain'] \
  'faults.csv' using 0:(column(c)) with linespoints title c noenhanced"
