#!/usr/bin/env bash
# A small fleet on 127.0.0.x: three daemons in two failure domains, two
# endpoints and a platform, used as a caller and an operator would. Exits
# non-zero if any step isn't as promised. With --keep it stays up.
set -u
cd "$(dirname "$0")/.."
bin=${GYPSUMTRACK_BIN:-build/release/bin}
keep=no
[ "${1:-}" = --keep ] && keep=yes
work=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

fail() {
  echo "FAILED: $*" >&2
  for log in "$work"/*.log; do
    echo "--- $(basename "$log")" >&2
    tail -5 "$log" >&2
  done
  exit 1
}

say() { printf '\n# %s\n' "$*"; }

# show COMMAND...: prints it as a reader could type it, then its output.
show() {
  printf '$ %s\n' "$*"
  "$@"
}

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

await_line() { # TEXT COMMAND...: repeats the command until its output has TEXT
  local text=$1
  shift
  for _ in $(seq 100); do
    if "$@" 2>/dev/null | grep -q "$text"; then return 0; fi
    sleep 0.1
  done
  return 1
}

export GYPSUMTRACK_FLEET_SECRET=demo-fleet-secret-0
export GYPSUMTRACK_ADMIN_TOKEN=demo-operators-token
export GYPSUMTRACK_ADDRESS=127.0.0.11:8081
platform=127.0.0.2:9000
vms=(vm-1 vm-2 vm-3)
domains=(delta-cairo delta-cairo delta-alex)

cat >"$work/vms.json" <<'J'
[{"name":"vm-1","role":"entry","state":"live","address":"127.0.0.11:8082","domain":"delta-cairo","region":"delta"},
 {"name":"vm-2","role":"entry","state":"live","address":"127.0.0.12:8082","domain":"delta-cairo","region":"delta"},
 {"name":"vm-3","role":"entry","state":"live","address":"127.0.0.13:8082","domain":"delta-alex","region":"delta"},
 {"name":"worker-1","role":"endpoint","state":"live","address":"127.0.0.21:8090","domain":"delta-cairo","region":"delta","service":"clockdesk","models":["loans"],"slots":8},
 {"name":"worker-2","role":"endpoint","state":"live","address":"127.0.0.22:8090","domain":"delta-alex","region":"delta","service":"clockdesk","models":["loans"],"slots":8}]
J
cat >"$work/rules.txt" <<'R'
allow org=cairo-federation service=clockdesk model=loans rate=40/s burst=80 bulk=yes  # events office: national cup
allow org=cairo-federation service=clockdesk rate=40/s burst=80 route=POST:/confirm idempotent=no  # arbiters: loan desk
R
printf '{"model":"loans","prompt":"hall %s"}\n' 1 2 3 >"$work/manifest.jsonl"

say "Start a platform, two endpoints and three daemons in two failure domains."
start platform $bin/platform_standin --listen $platform --vms "$work/vms.json"
start worker-1 $bin/endpoint_standin --listen 127.0.0.21:8090 --model loans
start worker-2 $bin/endpoint_standin --listen 127.0.0.22:8090 --model loans
for i in 0 1 2; do
  ip=127.0.0.$((11 + i))
  start "${vms[$i]}" $bin/gypsumtrackd --vm "${vms[$i]}" \
    --failure-domain "${domains[$i]}" --region delta --listen $ip:8080 \
    --admin-listen $ip:8081 --peer-listen $ip:8082 --platform $platform
done
for i in 1 2 3; do
  await_line ready curl -s "http://127.0.0.1$i:8080/readyz" ||
    fail "vm-$i is not ready"
done

say "Apply a rules file; wait until every VM has it in force."
show $bin/gypsumctl rules apply "$work/rules.txt" --author "events office" --wait ||
  fail "the rules were not applied"

say "Grant a key; it is shown once."
key=$(show $bin/gypsumctl keys grant --org cairo-federation --label arbiters \
  --author "events office" | tail -1)
[ -n "$key" ] || fail "no key was granted"
echo "$key"
auth="Authorization: Bearer $key"
for i in 1 2 3; do
  await_line loans curl -s -H "$auth" "http://127.0.0.1$i:8080/v1/models" ||
    fail "the key is not in force on vm-$i"
done

say "Confirm a loan online, through the second VM."
show curl -s -i -H "$auth" -d '{"loan":12}' \
  http://127.0.0.12:8080/s/clockdesk/confirm >"$work/answer"
answer=$(cat "$work/answer")
echo "$answer"
grep -q '^Gypsumtrack-Run: ran' <<<"$answer" || fail "the loan was not confirmed"

say "Stream a completion, through the other failure domain."
answer=$(show curl -s -N -H "$auth" \
  -d '{"model":"loans","prompt":"how many clocks?","stream":true}' \
  http://127.0.0.13:8080/v1/completions)
head -3 <<<"$answer"
grep -q '^data: \[DONE\]' <<<"$answer" || fail "the stream did not end"

say "Run a batch job of three items to its end."
show curl -s -H "$auth" --data-binary "@$work/manifest.jsonl" \
  "http://127.0.0.11:8080/v1/batches?id=draw-1&model=loans&due=2099-01-01T00:00:00Z"
await_line finished curl -s -H "$auth" http://127.0.0.12:8080/v1/batches/draw-1 ||
  fail "the job did not end"
answer=$(show curl -s -H "$auth" http://127.0.0.13:8080/v1/batches/draw-1/results)
echo "$answer"
[ "$(grep -c completed <<<"$answer")" = 3 ] || fail "not three results"

say "Who is there, and how are service levels?"
show $bin/gypsumctl vms || fail "no answer about the VMs"
show $bin/gypsumctl limits cairo-federation || fail "no answer about limits"
show $bin/gypsumctl batches show cairo-federation draw-1 ||
  fail "no answer about the job"
show $bin/gypsumctl report burn || fail "a daemon did not report"

if [ $keep = yes ]; then
  say "The fleet stays up; interrupt to stop it."
  echo "callers:   http://127.0.0.11:8080 http://127.0.0.12:8080 http://127.0.0.13:8080"
  echo "operators: GYPSUMTRACK_ADDRESS=$GYPSUMTRACK_ADDRESS"
  echo "           GYPSUMTRACK_ADMIN_TOKEN=$GYPSUMTRACK_ADMIN_TOKEN"
  echo "key:       $key"
  while sleep 3600; do :; done
fi

say "Withdraw the key; every VM refuses it."
show $bin/gypsumctl keys withdraw --key "$key" --author "events office" ||
  fail "the withdrawal was not in force everywhere"
for i in 1 2 3; do
  answer=$(show curl -s -i -H "$auth" "http://127.0.0.1$i:8080/v1/models")
  sed -n 2p <<<"$answer"
  grep -q '^HTTP/1.1 401' <<<"$answer" || fail "vm-$i still takes the key"
done

say "Done: every step was as promised."
