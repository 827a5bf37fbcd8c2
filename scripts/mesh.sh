# Functions that start and stop the processes of a small mesh on loopback. Sourced by the other scripts.
# Needs: out (folder for settings, data and logs). Every process is ended by its own process id.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$root/out/bin
domains=(suseong dalseo buk)
count=${CONTROLLERS:-3} # controllers
voters=${VOTERS:-3}     # the first of them vote
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
  "name": "c$1", "domain": "${domains[($1 - 1) % 3]}", "listen": "127.0.0.1:$((7100 + $1))", "data": "$out/c$1",
  "voter": $( (($1 <= voters)) && echo true || echo false),
  "peers": ["127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"]
}
JSON
  "$bin/controller" --settings "$out/c$1.json" run >>"$out/c$1.log" 2>&1 &
  pids[c$1]=$!
}

# cluster: all controllers, the first of which starts the cluster; returns once the voters vote
cluster() {
  mkdir -p "$out"
  cat >"$out/c1.json" <<JSON
{"name": "c1", "domain": "${domains[0]}", "listen": "127.0.0.1:7101", "voter": true, "data": "$out/c1"}
JSON
  "$bin/controller" --settings "$out/c1.json" init >"$out/init.log"
  local i k
  for ((i = 1; i <= count; i++)); do controller "$i"; done
  for ((k = 0; k < 150; k++)); do
    if (($(ctl status 2>/dev/null | awk '/^NODE/ {nodes = 1} nodes && $3 == "true"' | wc -l) >= voters)); then return; fi
    sleep 0.2
  done
  echo "the voters do not vote after 30 s" >&2
  return 1
}

# daemon N
daemon() {
  cat >"$out/d$1.json" <<JSON
{
  "name": "d$1", "domain": "${domains[$1 % 3]}", "batch": "${batch:-counter}",
  "calls": "127.0.0.1:$((20000 + $1))", "peers": "127.0.0.1:$((21000 + $1))", "local": "127.0.0.1:$((22000 + $1))",
  "seeds": ["127.0.0.1:21001", "127.0.0.1:21002", "127.0.0.1:21003"],
  "controllers": [$(for ((c = 1; c <= count; c++)); do
    echo "    $( ((c > 1)) && echo ,){\"addr\": \"127.0.0.1:$((7100 + c))\", \"domain\": \"${domains[(c - 1) % 3]}\"}"
  done)]
}
JSON
  "$bin/daemon" --settings "$out/d$1.json" >>"$out/d$1.log" 2>&1 &
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

controllers=$(addresses 7100 1 "$count")

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

# ticks PID: processor time of a process, in hundredths of a second
ticks() { awk '{sub(/.*\) /, ""); print $12 + $13}' "/proc/$1/stat"; }

# ticks_of KIND: processor time of all processes whose names start with KIND
ticks_of() {
  local name sum=0
  for name in "${!pids[@]}"; do
    if [[ $name == "$1"* ]]; then sum=$((sum + $(ticks "${pids[$name]}"))); fi
  done
  echo "$sum"
}
