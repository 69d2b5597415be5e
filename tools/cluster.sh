# Functions that run a small cluster on loopback, for tools/demo and tools/measure. Source this file
# after setting `controls` to the number of control processes (1 or 3). When the sourcing script
# exits, all started processes are stopped and their files are removed.

bin="$PWD/build"
work="$(mktemp -d)"
base=$((10000 + RANDOM % 20000))
pids=()
finish() {
    kill "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap finish EXIT

# Offsets from the base port: 2 callers; 1x entries; 10x to 39x agents and backend servers; 40x
# streams and 41x API of control processes.
port() { echo "127.0.0.1:$((base + $1))"; }
start() { # name, program, arguments
    local name="$1"
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
    eval "pid_${name//-/_}=$!"
}
common() { # role name availability_zone
    local addresses="" n
    for n in $(seq "$controls"); do addresses="$addresses, \"$(port $((400 + n)))\""; done
    printf 'role = "%s"\nname = "%s"\navailability_zone = "%s"\ncontrol_addresses = [%s]\n' \
        "$1" "$2" "$3" "${addresses#, }"
}
startControl() { # number
    local n
    {
        common control "control-$1" "zone-$1"
        printf '[control]\nstreams = "%s"\napi = "%s"\ndata_folder = "%s"\n' \
            "$(port $((400 + $1)))" "$(port $((410 + $1)))" "$work/data-$1"
        for n in $(seq "$controls"); do
            printf '[[control.peers]]\nname = "control-%s"\nstreams = "%s"\n' "$n" "$(port $((400 + n)))"
        done
    } >"$work/control-$1.toml"
    start "control-$1" "$bin/lycheeshuntd" --config "$work/control-$1.toml"
}
startEntry() { # name number
    { common entry "$1" "zone-$2"; printf '[entry]\npackets = "%s"\n' "$(port "1$2")"; } \
        >"$work/$1.toml"
    start "$1" "$bin/lycheeshuntd" --config "$work/$1.toml"
}
startServer() { # service number offset
    start "server-$1-$2" "$bin/standin_backend_server" --service "$1" --name "$1-$2" \
        --local "$(port $((300 + $3)))" --agent "$(port $((200 + $3)))"
}
startAgent() { # service number offset
    local name="$1-$2"
    {
        common agent "$name" "zone-$(($2 % 4))"
        printf '[agent]\nservice = "%s"\npackets = "%s"\nserver_side = "%s"\nserver = "%s"\nfabric = "%s"\n' \
            "$1" "$(port $((100 + $3)))" "$(port $((200 + $3)))" "$(port $((300 + $3)))" "$(port 2)"
    } >"$work/$name.toml"
    start "$name" "$bin/lycheeshuntd" --config "$work/$name.toml"
}
# Sends the command to each control process in turn until one succeeds; only the leader accepts
# tickets.
ctl() {
    local n
    for n in $(seq "$controls"); do
        "$bin/lycheeshuntctl" --server "$(port $((410 + n)))" "$@" && return 0
    done
    return 1
}
awaitServing() { # expected number of members
    for _ in $(seq 400); do
        if ctl --json status 2>/dev/null | grep -o '"state":"serving"' | wc -l | grep -qx "$1"; then
            return 0
        fi
        sleep 0.05
    done
    echo "not all $1 members are serving" >&2
    return 1
}
nowMillis() { date +%s%3N; }
submit() { # number, changes as JSON; prints the milliseconds until the ticket is in force everywhere
    local began
    began=$(nowMillis)
    printf '{"number": %s, "author": "demo", "changes": [%s]}' "$1" "$2" >"$work/ticket.json"
    ctl ticket submit "$work/ticket.json" --wait >&2
    echo $(($(nowMillis) - began))
}
service() { # name, last octet of the address
    printf '{"service": {"name": "%s", "addresses": ["tcp:192.0.2.%s:443"]}}' "$1" "$2"
}
