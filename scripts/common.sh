# Functions shared by the scripts: installing packages, building, and running
# a fleet of stand-ins and proxies on loopback. To be sourced, not run.

top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build="$top/build"
packages="libpoco-dev libmsgpack-cxx-dev libboost-dev libboost-log-dev
  libboost-thread-dev libboost-system-dev libcxxopts-dev libexpected-dev
  libcppunit-dev librapidcheck-dev nlohmann-json3-dev libxxhash-dev
  libbenchmark-dev cmake ninja-build g++ clang-format clang-tidy curl
  python3 procps"
pids=()

install_packages() {
  local missing=()
  local name
  for name in $packages; do
    dpkg -s "$name" >/dev/null 2>&1 || missing+=("$name")
  done
  [ ${#missing[@]} -eq 0 ] && return 0
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    --no-install-recommends "${missing[@]}" >/dev/null
}

build_all() {
  cmake -S "$top" -B "$build" -G Ninja >/dev/null
  ninja -C "$build" >"$build/build.log" || { tail -n 40 "$build/build.log" >&2; return 1; }
}

# Kills only the processes that this script started, by process id.
stop_fleet() {
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  pids=()
}

start() {
  local log=$1
  shift
  "$@" >"$run_dir/$log.out" 2>"$run_dir/$log.log" &
  pids+=($!)
  last_pid=$!
}

post() { curl -sS -m 10 -X POST -d "$2" "http://$1"; }

wait_for() { # seconds command...
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $end ] || return 1
    sleep 0.05
  done
}

is_ready() { curl -sf -m 2 "http://$1/ready"; }

# Starts a group of three members.
# Arguments: first port, slots, connections, connection set-up ms, lag ms.
start_group() {
  local first=$1 i peers j
  for i in 0 1 2; do
    peers=""
    for j in 0 1 2; do
      [ "$i" = "$j" ] || peers="$peers${peers:+,}127.0.0.1:$((first + j))"
    done
    start "member-$((first + i))" "$build/tanager_member" \
      --address "127.0.0.1:$((first + i))" --peers "$peers" --slots "$2" \
      --connections "$3" --setup-ms "$4" --lag-ms "$5" \
      --service-us "${service_us:-200}"
    eval "member_pid_$((first + i))=$last_pid"
  done
}

# Starts proxy number N. Ports: base+N for callers, base+50+N for peers.
start_proxy() {
  local n=$1 base=$2 platform=$3
  cat >"$run_dir/proxy-$n.json" <<EOF
{
  // Written by the scripts for a fleet on loopback.
  "name": "proxy-$n",
  "data_centre": "dc-$((n % 3))",
  "callers_address": "127.0.0.1:$((base + n))",
  "peers_address": "127.0.0.1:$((base + 50 + n))",
  "platform_address": "$platform",
  "fleet_key": "a key for tests on loopback",
  "gossip_period_ms": ${gossip_ms:-200},
  "drain_notice_ms": 500
}
EOF
  start "proxy-$n" "$build/tanager_proxy" --settings "$run_dir/proxy-$n.json"
  eval "proxy_pid_$n=$last_pid"
}

list_hosts() { # platform base count
  local hosts="" n
  for n in $(seq 1 "$3"); do
    hosts="$hosts${hosts:+,}{\"name\":\"proxy-$n\",\"address\":\"127.0.0.1:$(($2 + 50 + n))\",\"leaving\":false}"
  done
  post "$1/v1/set_hosts" "[$hosts]" >/dev/null
}

# Prints the settings plan of one team. Arguments: team, first member port.
plan_of() {
  sed "s/@A@/127.0.0.1:$2/; s/@B@/127.0.0.1:$(($2 + 1))/; s/@C@/127.0.0.1:$(($2 + 2))/" \
    "$top/deploy/$1.json"
}

set_plan() { # proxy team first-member-port
  plan_of "$2" "$3" >"$run_dir/$2.json"
  "$build/tanagerctl" --proxy "$1" settings set "$2" "$run_dir/$2.json" \
    >/dev/null
}

knows() { # proxy service: the proxy has a route and the primary responds
  post "$1/v1/statements" "{\"service\":\"$2\",\"operations\":[{\"op\":\"get\",\"key\":\"k\"}]}" |
    grep -q '"outcome":"done"'
}
