# Functions that start and stop the processes of a small mesh on loopback. Sourced by the other scripts.
# Needs: out (folder for settings, data and logs). Every process is ended by its own process id.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$root/out/bin
domains=(suseong dalseo buk)
controllers=127.0.0.1:7101,127.0.0.1:7102,127.0.0.1:7103
declare -A pids=()

build() {
  mkdir -p "$bin"
  for program in controller daemon standin loadgen bluebellctl; do
    (cd "$root/$program" && go build -o "$bin/$program" .)
  done
}

# controller N
controller() {
  cat >"$out/c$1.json" <<JSON
{
  "name": "c$1", "domain": "${domains[$1 - 1]}", "listen": "127.0.0.1:710$1", "voter": true, "data": "$out/c$1",
  "peers": ["127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"]
}
JSON
  "$bin/controller" --settings "$out/c$1.json" run 2>>"$out/c$1.log" &
  pids[c$1]=$!
}

# cluster: three controllers, the first of which starts the cluster
cluster() {
  mkdir -p "$out"
  cat >"$out/c1.json" <<JSON
{"name": "c1", "domain": "${domains[0]}", "listen": "127.0.0.1:7101", "voter": true, "data": "$out/c1"}
JSON
  "$bin/controller" --settings "$out/c1.json" init >"$out/init.log"
  for i in 1 2 3; do controller "$i"; done
  for ((k = 0; k < 100; k++)); do
    if ctl status 2>/dev/null | awk '$2 == "leader" {found = 1} END {exit !found}'; then return; fi
    sleep 0.2
  done
  echo "no controller leads after 20 s" >&2
  return 1
}

# daemon N
daemon() {
  cat >"$out/d$1.json" <<JSON
{
  "name": "d$1", "domain": "${domains[$1 % 3]}", "batch": "${batch:-counter}",
  "calls": "127.0.0.1:$((20000 + $1))", "peers": "127.0.0.1:$((21000 + $1))", "local": "127.0.0.1:$((22000 + $1))",
  "seeds": ["127.0.0.1:21001", "127.0.0.1:21002", "127.0.0.1:21003"],
  "controllers": [
    {"addr": "127.0.0.1:7101", "domain": "suseong"},
    {"addr": "127.0.0.1:7102", "domain": "dalseo"},
    {"addr": "127.0.0.1:7103", "domain": "buk"}
  ]
}
JSON
  "$bin/daemon" --settings "$out/d$1.json" 2>>"$out/d$1.log" &
  pids[d$1]=$!
}

# upstream N SERVICE [FLAGS...]
upstream() {
  local n=$1 service=$2
  shift 2
  "$bin/standin" --name "u$n" --service "$service" --listen "127.0.0.1:$((23000 + n))" --daemon "127.0.0.1:$((22000 + n))" \
    --calls "127.0.0.1:$((20000 + n))" --seed "$n" --runs "$out/u$n.runs" "$@" 2>>"$out/u$n.log" &
  pids[u$n]=$!
}

# addresses BASE FIRST LAST: loopback addresses separated by commas
addresses() {
  local list=""
  for ((k = $2; k <= $3; k++)); do list+=",127.0.0.1:$(($1 + k))"; done
  echo "${list:1}"
}

ctl() { "$bin/bluebellctl" --controllers "$controllers" "$@"; }

# stop NAME: planned stop, returns once the process has ended
stop() {
  local pid=${pids[$1]}
  unset "pids[$1]"
  kill -TERM "$pid"
  wait "$pid" || echo "$1 ended with status $?"
}

# crash NAME
crash() {
  local pid=${pids[$1]}
  unset "pids[$1]"
  kill -KILL "$pid"
  wait "$pid" 2>/dev/null || true
}

# freeze NAME, thaw NAME
freeze() { kill -STOP "${pids[$1]}"; }
thaw() { kill -CONT "${pids[$1]}"; }

# stop_all: upstreams leave first, then daemons, then controllers
stop_all() {
  local kind name
  for kind in u d c; do
    for name in "${!pids[@]}"; do
      if [[ $name == "$kind"* ]]; then kill -CONT "${pids[$name]}"; kill -TERM "${pids[$name]}"; fi
    done
    for name in "${!pids[@]}"; do
      if [[ $name == "$kind"* ]]; then wait "${pids[$name]}" || echo "$name ended with status $?"; unset "pids[$name]"; fi
    done
  done
}

# counters: 5 counter, 3 payout and 7 records upstreams with their daemons, in 3 failure domains
counters() {
  local n
  for ((n = 1; n <= 15; n++)); do
    daemon "$n"
    upstream "$n" "$(service_of "$n")" --delay 3ms --spread 2ms
  done
}

service_of() {
  if (($1 <= 5)); then echo counter; elif (($1 <= 8)); then echo payout; else echo records; fi
}

# ready FIRST LAST: waits until each of these daemons knows the upstreams of all of them
ready() {
  local k want=$(($2 - $1 + 1))
  for ((k = $1; k <= $2; k++)); do
    until (($(curl -s "http://127.0.0.1:$((22000 + k))/v1/status" | grep -o '"ready":true' | wc -l) >= want)); do sleep 0.1; done
  done
}
