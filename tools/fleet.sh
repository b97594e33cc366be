# Functions that start and stop the processes of the demonstration.
#
# Needs BIN (the build folder) and WORK (a folder for logs and process ids).
# Ports: platform 21000, engines from 21100, plain services from 21200, daemons
# from 21300 (HTTP) and from 21400 (peers).

PLATFORM=http://127.0.0.1:21000

start() { # NAME COMMAND...: in the background, with logs in WORK
  local name=$1
  shift
  "$@" >"$WORK/$name.out" 2>"$WORK/$name.log" &
  echo $! >"$WORK/$name.pid"
}

pid_of() { cat "$WORK/$1.pid"; }

wait_for() { # URL: until a GET request succeeds, at most 200 tries
  local try
  for try in $(seq 200); do
    if curl -fs -o /dev/null -m 1 "$1"; then return 0; fi
    sleep 0.1
  done
  echo "no response from $1" >&2
  return 1
}

start_platform() {
  start platform "$BIN/stand_ins/standin-platform" --port 21000
}

start_endpoints() { # [FLAG...]: flags for the engines
  local index
  for index in 0 1 2 3; do
    start "engine-$index" "$BIN/stand_ins/standin-engine" \
      --name "engine-$index" --port $((21100 + index)) --slots 32 "$@"
  done
  for index in 0 1; do
    start "plain-$index" "$BIN/stand_ins/standin-service" \
      --port $((21200 + index))
  done
}

start_daemon() { # NUMBER ZONE [FLAG...]
  local number=$1 zone=$2
  shift 2
  start "daemon-$number" "$BIN/tamarackd" --instance "daemon-$number" \
    --zone "$zone" --http-port $((21300 + number)) \
    --peer-url "tcp://127.0.0.1:$((21400 + number))" \
    --platform-url "$PLATFORM" "$@"
}

url_of() { echo "http://127.0.0.1:$((21300 + $1))"; }

ctl() { "$BIN/tamarackctl" --platform-url "$PLATFORM" "$@"; }

load() { "$BIN/stand_ins/standin-load" "$@"; }

field() { # JSON-FILE EXPRESSION: a Python expression, d is the content
  python3 -c "import json,sys; d=json.load(open(sys.argv[1])); print($2)" "$1"
}

stop_all() {
  local file
  for file in "$WORK"/*.pid; do
    kill -CONT "$(cat "$file")" 2>/dev/null
    kill -KILL "$(cat "$file")" 2>/dev/null
  done
  wait >/dev/null 2>&1
}
