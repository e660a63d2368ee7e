#!/usr/bin/env bash
# Starts or stops the processes of an example site on loopback.
#   utils/fleet.sh up bureau|kartvik [SIZE]   SIZE: full (default, the site's number of endpoints)
#                                             or small (three endpoints in each engine pool)
#   utils/fleet.sh down
# Writes build/fleet/fleet.json and one log file per process under build/fleet/.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/bin
dir=build/fleet
siteKey=demo-site-key-0123456789
sessionKeys=k1:demo-session-secret-0123456789

die() { echo "fleet.sh: error: $*" >&2; exit 1; }

# Ends the processes that "up" started, by process id.
down() {
    [ -f "$dir/pids" ] || return 0
    while read -r pid _; do kill -TERM "$pid" 2>/dev/null || true; done < "$dir/pids"
    local tries=0
    while [ "$tries" -lt 100 ]; do
        local left=0
        while read -r pid _; do kill -0 "$pid" 2>/dev/null && left=1; done < "$dir/pids"
        [ "$left" = 0 ] && break
        tries=$((tries + 1)); sleep 0.05
    done
    while read -r pid _; do kill -KILL "$pid" 2>/dev/null || true; done < "$dir/pids"
    rm -f "$dir/pids"
}

# launch NAME COMMAND...: runs the command in the background with its output in NAME.log.
launch() {
    local name=$1; shift
    "$@" > "$dir/$name.log" 2>&1 &
    echo "$! $name" >> "$dir/pids"
}

# portOf NAME: waits until a stand-in has printed its port, and prints it.
portOf() {
    for _ in $(seq 1 200); do
        local port; port=$(sed -n 's/^port //p' "$dir/$1.log" | head -n 1)
        [ -n "$port" ] && { echo "$port"; return; }
        sleep 0.02
    done
    die "$1 did not start: $(cat "$dir/$1.log")"
}

# entryPort NAME FIELD: waits until an entry has logged its ports, and prints the one in FIELD.
entryPort() {
    for _ in $(seq 1 200); do
        local port; port=$(sed -n "s/.*callers are served.* $2=\([0-9]*\).*/\1/p" "$dir/$1.log" | head -n 1)
        [ -n "$port" ] && { echo "$port"; return; }
        sleep 0.02
    done
    die "$1 did not start: $(cat "$dir/$1.log")"
}

# gossipAddress NAME: waits until an instance has logged its gossip address, and prints it.
gossipAddress() {
    for _ in $(seq 1 200); do
        local address; address=$(sed -n 's/.*instance started.* gossip=\([0-9.:]*\).*/\1/p' "$dir/$1.log" | head -n 1)
        [ -n "$address" ] && { echo "$address"; return; }
        sleep 0.02
    done
    die "$1 did not start: $(cat "$dir/$1.log")"
}

up() {
    local site=$1 size=${2:-full}
    local seed=1
    local pools
    case $site in
    bureau) pools="timetable:engine:20:96:4000 portal:engine:3:75:1000 roster:service:1:0:0" ;;
    kartvik) pools="floorplan:engine:10:96:4000 wayfinding:engine:3:80:1000 tiles:service:1:0:0" ;;
    *) die "unknown site '$site': expected bureau or kartvik" ;;
    esac
    [ "$size" = small ] && pools=$(echo "$pools" | sed -E 's/:engine:(20|10):/:engine:3:/')
    down; rm -rf "$dir"; mkdir -p "$dir"
    for key in a b; do $bin/laurelcroft keygen "$dir/operator-$key.key" | sed 's/public key //' > "$dir/operator-$key.pub"; done
    local signoff; signoff="$(cat "$dir/operator-a.pub"),$(cat "$dir/operator-b.pub")"

    launch table $bin/laurelcroft-standin --role table --rate 2000
    launch objects $bin/laurelcroft-standin --role objects
    launch ratings $bin/laurelcroft-standin --role ratings --delay-ms 20
    launch list $bin/laurelcroft-standin --role list --delay-ms 2000
    local table objects ratings list
    table=http://127.0.0.1:$(portOf table)
    objects=http://127.0.0.1:$(portOf objects)
    ratings=http://127.0.0.1:$(portOf ratings)
    list=http://127.0.0.1:$(portOf list)
    local common=(--site-key "$siteKey" --signoff-keys "$signoff" --signoff-required 2
        --table-url "$table" --objects-url "$objects" --ratings-url "$ratings" --list-url "$list"
        --probe-period 500)

    local entries="" admin="" seeds="" endpoints=""
    for i in 1 2 3; do
        launch "entry-$i" $bin/laurelcroft-entry "${common[@]}" --instance "entry-$i" --data-centre "dc$i" \
            --session-keys "$sessionKeys" --seeds "$seeds" --rated-percent "${RATED_PERCENT:-30}"
        seeds="$seeds${seeds:+,}$(gossipAddress "entry-$i")"
    done
    local pool kind count quality decode
    for spec in $pools; do
        IFS=: read -r pool kind count quality decode <<< "$spec"
        for i in $(seq 1 "$count"); do
            seed=$((seed + 1))
            if [ "$kind" = engine ]; then
                launch "$pool-$i" $bin/laurelcroft-standin --role engine --seed "$seed" \
                    --quality-percent "$quality" --decode-us "$decode"
            else
                launch "$pool-$i" $bin/laurelcroft-standin --role service --delay-ms 20
            fi
        done
    done
    for spec in $pools; do
        IFS=: read -r pool kind count quality decode <<< "$spec"
        for i in $(seq 1 "$count"); do
            local url; url=http://127.0.0.1:$(portOf "$pool-$i")
            launch "agent-$pool-$i" $bin/laurelcroft-agent "${common[@]}" --instance "agent-$pool-$i" \
                --data-centre "dc$(((i - 1) % 3 + 1))" --pool "$pool" --endpoint-url "$url" --seeds "$seeds"
            endpoints="$endpoints${endpoints:+, }{\"instance\": \"agent-$pool-$i\", \"pool\": \"$pool\", \"url\": \"$url\"}"
        done
    done
    for i in 1 2 3; do
        entries="$entries${entries:+, }\"http://127.0.0.1:$(entryPort "entry-$i" port)\""
        admin="$admin${admin:+, }\"http://127.0.0.1:$(entryPort "entry-$i" admin_port)\""
    done
    local customers; customers=$(sed -n "s/.*demo key 'key-\(.*\)'.*/\1/p" "examples/$site.yaml" |
        sed 's/.*/"&": "key-&"/' | paste -sd, -)
    cat > "$dir/fleet.json" <<JSON
{
  "site": "$site",
  "entries": [$entries],
  "admin": [$admin],
  "customers": {$customers},
  "sessions": ["draft-1", "draft-2", "draft-3"],
  "standins": {"table": "$table", "objects": "$objects", "ratings": "$ratings", "list": "$list"},
  "endpoints": [$endpoints],
  "signoff_keys": "$signoff",
  "key_files": ["$dir/operator-a.key", "$dir/operator-b.key"]
}
JSON
}

case ${1:-} in
up) up "${2:-}" "${3:-full}" ;;
down) down ;;
*) die "usage: fleet.sh up bureau|kartvik [full|small], or fleet.sh down" ;;
esac
