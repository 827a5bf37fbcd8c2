# Functions that start and stop the processes of a small mesh on loopback. Sourced by the other scripts.
# The caller sets out, the folder for settings, data and logs, and optionally batch, the batch of the daemons.
# Signals go only to the process ids of processes that these functions started.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$root/out/bin
domains=(suseong dalseo buk)
controller_count=${CONTROLLERS:-3}
voter_count=${VOTERS:-3} # controllers 1 to VOTERS are voters
declare -A pids=() # process ids by name: c1 for a controller, d1 for a daemon, u1 for an upstream

build_programs() {
  mkdir -p "$bin"
  for program in controller daemon standin loadgen bluebellctl; do
    (cd "$root/$program" && go build -o "$bin/$program" .)
  done
}

# start_controller N
start_controller() {
  cat >"$out/c$1.json" <<JSON
{
  "name": "c$1", "domain": "${domains[($1 - 1) % 3]}", "listen": "127.0.0.1:$((7100 + $1))", "data": "$out/c$1",
  "voter": $( (($1 <= voter_count)) && echo true || echo false),
  "peers": ["127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"]
}
JSON
  "$bin/controller" --settings "$out/c$1.json" run >>"$out/c$1.log" 2>&1 &
  pids[c$1]=$!
}

# start_cluster: bootstraps a cluster on controller 1, starts all controllers and waits until all voters have joined
start_cluster() {
  mkdir -p "$out"
  cat >"$out/c1.json" <<JSON
{"name": "c1", "domain": "${domains[0]}", "listen": "127.0.0.1:7101", "voter": true, "data": "$out/c1"}
JSON
  "$bin/controller" --settings "$out/c1.json" init >"$out/init.log"
  local i k
  for ((i = 1; i <= controller_count; i++)); do start_controller "$i"; done
  for ((k = 0; k < 150; k++)); do
    if (($(ctl status 2>/dev/null | awk '/^NODE/ {nodes = 1} nodes && $3 == "true"' | wc -l) >= voter_count)); then return; fi
    sleep 0.2
  done
  echo "the voters have not joined the cluster within 30 s" >&2
  return 1
}

# start_daemon N
start_daemon() {
  cat >"$out/d$1.json" <<JSON
{
  "name": "d$1", "domain": "${domains[$1 % 3]}", "batch": "${batch:-counter}",
  "calls": "127.0.0.1:$((20000 + $1))", "peers": "127.0.0.1:$((21000 + $1))", "local": "127.0.0.1:$((22000 + $1))",
  "seeds": ["127.0.0.1:21001", "127.0.0.1:21002", "127.0.0.1:21003"],
  "controllers": [$(for ((c = 1; c <= controller_count; c++)); do
    echo "    $( ((c > 1)) && echo ,){\"addr\": \"127.0.0.1:$((7100 + c))\", \"domain\": \"${domains[(c - 1) % 3]}\"}"
  done)]
}
JSON
  "$bin/daemon" --settings "$out/d$1.json" >>"$out/d$1.log" 2>&1 &
  pids[d$1]=$!
}

# start_upstream N SERVICE [FLAGS...]: starts a simulated upstream (standin) behind daemon N
start_upstream() {
  local n=$1 service=$2
  shift 2
  "$bin/standin" --name "u$n" --service "$service" --listen "127.0.0.1:$((23000 + n))" --daemon "127.0.0.1:$((22000 + n))" \
    --calls "127.0.0.1:$((20000 + n))" --seed "$n" --runs "$out/u$n.runs" "$@" 2>>"$out/u$n.log" &
  pids[u$n]=$!
}

# addresses BASE FIRST LAST: prints the loopback addresses with ports BASE+FIRST to BASE+LAST, separated by commas
addresses() {
  local list=""
  for ((k = $2; k <= $3; k++)); do list+=",127.0.0.1:$(($1 + k))"; done
  echo "${list:1}"
}

# ctl ARGUMENTS...: runs bluebellctl against the controllers
ctl() { "$bin/bluebellctl" --controllers "$controller_addresses" "$@"; }

controller_addresses=$(addresses 7100 1 "$controller_count")

# stop_process NAME: sends SIGTERM for a planned stop and waits for the process to exit
stop_process() {
  local pid=${pids[$1]}
  unset "pids[$1]"
  kill -TERM "$pid"
  wait "$pid" || echo "$1 ended with status $?"
}

# crash_process NAME: sends SIGKILL and waits for the process to exit
crash_process() {
  local pid=${pids[$1]}
  unset "pids[$1]"
  kill -KILL "$pid"
  wait "$pid" 2>/dev/null || true
}

# pause_process NAME, resume_process NAME: send SIGSTOP and SIGCONT
pause_process() { kill -STOP "${pids[$1]}"; }
resume_process() { kill -CONT "${pids[$1]}"; }

# stop_all: stops all processes, paused ones included: upstreams first, so that they can deregister from their daemons,
# then daemons, then controllers
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

# start_counter_services: starts 5 counter, 3 payout and 7 records upstreams with their daemons, in 3 failure domains
start_counter_services() {
  local n
  for ((n = 1; n <= 15; n++)); do
    start_daemon "$n"
    start_upstream "$n" "$(service_of "$n")" --delay 3ms --spread 2ms
  done
}

# service_of N: prints the service of upstream N
service_of() {
  if (($1 <= 5)); then echo counter; elif (($1 <= 8)); then echo payout; else echo records; fi
}

# wait_ready FIRST LAST: waits until each of these daemons reports the upstreams of all of them as ready
wait_ready() {
  local k expected=$(($2 - $1 + 1))
  for ((k = $1; k <= $2; k++)); do
    until (($(curl -s "http://127.0.0.1:$((22000 + k))/v1/status" | grep -o '"ready":true' | wc -l) >= expected)); do sleep 0.1; done
  done
}

# cpu_ticks PID: prints the CPU time of a process in clock ticks of 10 ms
cpu_ticks() { awk '{sub(/.*\) /, ""); print $12 + $13}' "/proc/$1/stat"; }

# total_cpu_ticks PREFIX: prints the CPU time of all processes whose names start with PREFIX, in clock ticks of 10 ms
total_cpu_ticks() {
  local name sum=0
  for name in "${!pids[@]}"; do
    if [[ $name == "$1"* ]]; then sum=$((sum + $(cpu_ticks "${pids[$name]}"))); fi
  done
  echo "$sum"
}
