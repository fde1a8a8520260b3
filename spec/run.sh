#!/usr/bin/env bash
# Checks every property of properties.txt to the end of its state space and every mutant of mutants.txt.
# Fails when a property does not hold, a search is not exhaustive, or a mutant passes.
#   spec/run.sh             all of it; traces of the mutants go to the directory $MODEL_OUTPUT (default build/model)
#   spec/run.sh property MODEL PROPERTY BOUNDS
#   spec/run.sh mutant MODEL RULE PROPERTY BOUNDS
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
output=${MODEL_OUTPUT:-$here/../build/model}
maxDepth=100000

# Compiles the verifier of a model: compile MODEL PROPERTY BOUNDS EXTRA_C_FLAGS
compile()
{
    local flags=""
    case $2 in
    progress_no_cycle) flags="$flags -DNP -DNOCLAIM" ;;
    progress_*) flags="$flags -DSAFETY -DNOCLAIM" ;;
    *) flags="$flags -DSAFETY" ;;
    esac
    cp "$here/$1.pml" .
    # Options are split into words on purpose.
    # shellcheck disable=SC2086
    spin -a $3 "$1.pml" >spin.log 2>&1 || { cat spin.log; return 1; }
    # shellcheck disable=SC2086
    gcc -w $flags $4 -o pan pan.c
}

# Runs the verifier for a property; the report goes to pan.log.
verify()
{
    case $1 in
    progress_no_cycle) ./pan -m$maxDepth -l ;;
    progress_*) ./pan -m$maxDepth ;;
    *) ./pan -m$maxDepth -N "$1" ;;
    esac >pan.log 2>&1 || true
}

bounds() { [ "$1" = - ] || echo "$1"; }

property()
{
    local states depth
    compile "$1" "$2" "$(bounds "$3")" "-O1"
    verify "$2"
    states=$(awk '/states, stored/ { print $1 }' pan.log)
    depth=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' pan.log | tail -1)
    if ! grep -q 'errors: 0' pan.log || grep -qE 'max search depth too small|out of memory|search not completed' pan.log; then
        printf 'FAILS   %-9s %-33s see %s\n' "$1" "$2" "$PWD"
        return 1
    fi
    printf 'holds   %-9s %-33s %9s states, depth %s\n' "$1" "$2" "$states" "$depth"
}

# The search is breadth first, so the trace is a shortest one.
mutant()
{
    local options
    options="-D$2 $(bounds "$4")"
    compile "$1" "$3" "$options" "-O0 -DBFS"
    verify "$3"
    if ! grep -q 'errors: 1' pan.log || [ ! -s "$1.pml.trail" ]; then
        printf 'PASSES  %-9s %-33s must break %s\n' "$1" "$2" "$3"
        return 1
    fi
    # shellcheck disable=SC2086
    spin $options -t "$1.pml" | sed -n '/spin: trail ends/q; /^ltl\|^Never\|^starting/d; /<<<\|^#/d; s/^ *//p' >"trace-$2.txt"
    cp "trace-$2.txt" "$output/"
    printf 'rejects %-9s %-33s by %s, %s steps\n' "$1" "$2" "$3" "$(wc -l <"trace-$2.txt")"
}

# Runs one line of a table in a directory of its own: job KIND FIELDS...
job()
{
    mkdir -p "$output/$1-$2-$3"
    cd "$output/$1-$2-$3"
    "$@"
}

# Prints "KIND<tab>field<tab>..." for each line of a table with that many fields.
table()
{
    grep -v '^#' "$here/$2" | awk -v kind="$1" -v fields="$3" '{
        rest = ""
        for (i = fields + 1; i <= NF; i++) rest = rest (rest == "" ? "" : " ") $i
        printf "%s", kind
        for (i = 1; i <= fields; i++) printf "\t%s", $i
        printf "\t%s\n", rest
    }'
}

all()
{
    local properties mutants held rejected
    rm -rf "$output"
    mkdir -p "$output"
    properties=$(table property properties.txt 2 | wc -l)
    mutants=$(table mutant mutants.txt 3 | wc -l)
    { table property properties.txt 2; table mutant mutants.txt 3; } |
        xargs -P "${JOBS:-3}" -d '\n' -n 1 "$here/run.sh" line 2>&1 | tee "$output/results" || true
    held=$(grep -c '^holds ' "$output/results" || true)
    rejected=$(grep -c '^rejects ' "$output/results" || true)
    [ "$held" -eq "$properties" ] && [ "$rejected" -eq "$mutants" ] ||
        { echo "model: $held of $properties properties hold, $rejected of $mutants mutants rejected"; exit 1; }
    echo "model: $held properties hold, $rejected of $mutants mutants rejected"
}

case ${1:-all} in
all) all ;;
line) IFS=$'\t' read -r -a fields <<<"$2"; job "${fields[@]}" ;;
*) job "$@" ;;
esac
