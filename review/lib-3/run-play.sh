# Plays the case in CASE_DIR: exit status 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run.
play=target/review-3/play-$(basename "$CASE_DIR")
PROGRAM=target/build/bin/gypsumtrackd
[ -x "$play" ] && [ -x "$PROGRAM" ] || exit 2
PLAY_DIR=$(mktemp -d) || exit 2

end_processes() { # what a play that was cut off has left
  local pid
  for pid in $(cat "$PLAY_DIR/pids" 2>/dev/null); do
    if grep -qs "$PLAY_DIR" "/proc/$pid/environ"; then kill -KILL "$pid"; fi
  done
  rm -rf "$PLAY_DIR"
}
trap end_processes EXIT
export PROGRAM PLAY_DIR CASE_DIR LIB_DIR=review/lib-3
timeout -k 1 118 "$play"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
