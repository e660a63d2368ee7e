#!/usr/bin/env python3
"""Prints the log lines of one request from the logs of all entries, in order of time.

Usage: request-story.py REQUEST_ID LOG...

The output includes lines about changes of the handling entry's state while the request ran:
contract, roll-outs, endpoints, store. Lines of the request itself are marked with "*".
"""
import datetime
import re
import sys

STATE_MESSAGES = ("contract in force", "contract refused", "roll-out", "endpoint is leaving",
           "endpoint's record removed", "store lost", "store regained", "stopping", "started",
           "ready", "evidence told")
TIME = re.compile(r"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d+)Z (\w+) (\w+): (.*)")
LEAD_TIME = datetime.timedelta(seconds=5)


def read_lines(path):
    """Yields time, path of the log, component and text of each line."""
    with open(path, encoding="utf-8", errors="replace") as log:
        for line in log:
            found = TIME.search(line)
            if found:
                yield datetime.datetime.fromisoformat(found[1]), path, found[3], found[4]


def main():
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    request = "request=" + sys.argv[1]
    lines = sorted(item for path in sys.argv[2:] for item in read_lines(path))
    own = [item for item in lines if request in item[3].split()]
    if not own:
        sys.exit(f"no log line of request {sys.argv[1]}: it may have been dropped "
                 "(see 'log lines left out')")
    total = re.search(r"total_ms=(\d+)", own[-1][3])
    length = datetime.timedelta(milliseconds=int(total[1]) if total else 0)
    first = own[0][0] - length - LEAD_TIME
    for item in lines:
        is_own = item in own
        is_state_change = item[1] == own[-1][1] and item[3].startswith(STATE_MESSAGES)
        if first <= item[0] <= own[-1][0] and (is_own or is_state_change):
            print(item[0].time(), "*" if is_own else " ", item[2] + ":", item[3])


if __name__ == "__main__":
    main()
