#!/usr/bin/env bash
# Builds the tier with a PATH that holds only the programs of the packages in deploy/system.toml, of what they depend on, of
# the base system, and the Rust toolchain. Nothing is installed. Headers and libraries of other packages are not hidden.
set -euo pipefail
cd "$(dirname "$0")/.."

command -v dpkg-query > /dev/null || { echo "dpkg-query is missing: this check needs a Debian system" >&2; exit 2; }
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir "$work/bin"

# The packages that are named, and those that dpkg counts as the base system.
sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr ',' '\n' | tr -d '" ' > "$work/named"
dpkg-query -W -f '${Package} ${Essential} ${Priority}\n' | awk '$2 == "yes" || $3 == "required" { print $1 }' > "$work/base"

# With all that they depend on, as far as it is installed.
sort -u "$work/named" "$work/base" > "$work/wanted"
while :; do
    xargs -a "$work/wanted" dpkg-query -W -f '${Depends}, ${Pre-Depends}\n' 2> /dev/null \
        | tr ',|' '\n\n' | sed 's/(.*)//; s/:any//; s/ //g' | sort -u | comm -12 - <(dpkg-query -W -f '${Package}\n' | sort -u) \
        | sort -u - "$work/wanted" > "$work/next"
    if cmp -s "$work/next" "$work/wanted"; then break; fi
    mv "$work/next" "$work/wanted"
done
while read -r package; do
    if [ -s "$work/named" ] && grep -qx "$package" "$work/named" && ! dpkg-query -W "$package" > /dev/null 2>&1; then
        echo "the package $package is not installed here: nothing can be shown" >&2
        exit 2
    fi
done < "$work/named"

# Their programs, under the names by which they are called, update-alternatives' included.
xargs -a "$work/wanted" dpkg-query -L 2> /dev/null | grep -E '^(/usr)?/s?bin/[^/]+$' | sort -u > "$work/programs"
while read -r program; do
    [ -x "$program" ] && ln -sf "$program" "$work/bin/$(basename "$program")"
done < "$work/programs"
for alternative in cc c89 c99 awk; do
    target=$(readlink -f "/etc/alternatives/$alternative" 2> /dev/null || true)
    if [ -n "$target" ] && grep -q "$(basename "$target")" "$work/programs"; then
        ln -sf "$target" "$work/bin/$alternative"
    fi
done
toolchain=$(dirname "$(rustup which cargo 2> /dev/null || command -v cargo)")
for program in cargo rustc rustdoc; do ln -sf "$toolchain/$program" "$work/bin/$program"; done
for program in cmake clang go perl python3 pkg-config make g++; do
    if [ -e "$work/bin/$program" ]; then echo "in the PATH, as a package of the closure brings it: $program"; fi
done

build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
echo "$(wc -l < "$work/wanted") packages, $(find "$work/bin" -type l | wc -l) programs; builds: $build"
env -i HOME="$HOME" CARGO_HOME="${CARGO_HOME:-$HOME/.cargo}" PATH="$work/bin" CARGO_TARGET_DIR=target/package-check \
    sh -c "$build"
echo "the build needs nothing beyond: $(tr '\n' ' ' < "$work/named")"
rm -rf target/package-check
