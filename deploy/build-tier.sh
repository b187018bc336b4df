#!/bin/sh
# Builds the serving tier from the sources as they are. Cargo goes by the times of files: in a build folder that was
# carried over and is newer than the sources it would keep an older program. This goes by their contents.
set -eu
cd "$(dirname "$0")/.."

# The folders of the workspace's packages that the program is made of.
members="alderhollow batch coordination dataplane gateway-cluster model quota-gateway storage"
# The contents that the build folder was made from.
record=target/tier/sources.sha256

list_sources() {
    echo Cargo.toml
    echo Cargo.lock
    for member in $members; do
        echo "$member/Cargo.toml"
        find "$member/src" -type f
    done
}

package_of() {
    sed -n 's/^name = "\(.*\)"$/\1/p' "$1/Cargo.toml" | head -n 1
}

sources=$(list_sources | LC_ALL=C sort | xargs sha256sum | sha256sum)
if [ ! -f "$record" ] || [ "$(cat "$record")" != "$sources" ]; then
    rm -f "$record"
    set --
    for member in $members; do
        set -- "$@" -p "$(package_of "$member")"
    done
    cargo clean --locked --profile tier "$@"
fi
cargo build --locked --profile tier -p alderhollow
printf '%s\n' "$sources" > "$record"
