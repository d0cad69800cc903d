#!/usr/bin/env bash
# Prints which programs a clean build runs, beside the Rust toolchain's own: scripts/build-programs.sh [BUILD ARGUMENTS OF CARGO].
# The build sees a PATH with nothing but the toolchain and a folder of wrappers, which record their names. Calls by a full path
# are not seen so; where strace is installed, they are listed as well.
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -gt 0 ] || set -- --release --locked -p ivyhatch
toolchain=$(rustc --print sysroot)/bin
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir "$work/wrappers"
IFS=:
for folder in /usr/local/bin $PATH; do
    for program in "$folder"/*; do
        name=${program##*/}
        case $name in cargo* | rust* | clippy*) continue ;; esac
        [ -x "$program" ] && [ -f "$program" ] && [ ! -e "$work/wrappers/$name" ] || continue
        printf '#!/bin/sh\necho "%s" >>"%s"\nexec "%s" "$@"\n' "$name" "$work/names" "$program" >"$work/wrappers/$name"
        chmod +x "$work/wrappers/$name"
    done
done
unset IFS
touch "$work/names"
trace=()
if strace=$(command -v strace); then trace=("$strace" -f -qq -e trace=execve -o "$work/trace"); fi
PATH=$toolchain:$work/wrappers CARGO_TARGET_DIR=$work/target "${trace[@]}" "$toolchain/cargo" build "$@"
echo "Called by name:"
sort "$work/names" | uniq -c
if [ -s "$work/trace" ]; then
    echo "Called at all, the toolchain and build scripts apart:"
    sed -n 's/.*execve("\([^"]*\)".* = 0$/\1/p' "$work/trace" | grep -v -e "^$work" -e "^${toolchain%/bin}" -e "^${HOME}/.rustup" | sort | uniq -c
fi
