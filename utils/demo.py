#!/usr/bin/env python3
"""Sends a site's typical requests and prints their results as a table."""
import json
import subprocess
import sys
import time
import urllib.error
import urllib.request

FLEET = json.load(open("build/fleet/fleet.json"))
SITES = {
    "bureau": {
        "office": "bureau-office", "public": "family-portal", "cheap": "portal-small",
        "costly": "timetable-large", "cascade": "substitution", "once": "rebuild",
        "service": "publish-week", "old": "2026.09", "new": "2026.10",
        "words": ["rebuild the term", "substitute for teacher", "class changes of"],
    },
    "kartvik": {
        "office": "terminal-one", "public": "traveller-app", "cheap": "wayfinder",
        "costly": "floorplan-large", "cascade": "route", "once": "floor-plan",
        "service": "tile-update", "old": "7", "new": "8",
        "words": ["rewrite the plan of hall", "step-free route to gate", "tag the sign of shop"],
    },
}
WAIT_TIMEOUT_S = 20.0


def send_request(entry, customer, target, words, session=None, key=None, service=False):
    """Sends a request to an entry. Returns status, headers and parsed body."""
    headers = {"Authorization": "Bearer " + FLEET["customers"][customer]}
    if session:
        headers["X-Laurelcroft-Session"] = session
    if key:
        headers["Idempotency-Key"] = key
    path = "/v1/services/" + target if service else "/v1/chat/completions"
    body = {"model": target, "max_tokens": 12, "messages": [{"role": "user", "content": words}]}
    request = urllib.request.Request(FLEET["entries"][entry % 3] + path,
                                     json.dumps(body).encode(), headers)
    try:
        with urllib.request.urlopen(request, timeout=30) as answer:
            return answer.status, answer.headers, json.load(answer)
    except urllib.error.HTTPError as error:
        return error.code, error.headers, json.load(error)


def wait_until(condition, what):
    """Polls until condition() is true; exits with an error after WAIT_TIMEOUT_S."""
    end = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    sys.exit(f"demo: timed out waiting for {what}")


def run_operator(*words):
    done = subprocess.run(["utils/operator.sh", *words, "--output", "json"],
                          capture_output=True, text=True, check=False)
    return done.returncode, json.loads(done.stdout or "{}")


def read_bills(request_id):
    url = FLEET["standins"]["table"] + "/v1/table/scan?prefix=bill/" + request_id
    with urllib.request.urlopen(url, timeout=5) as answer:
        return json.load(answer)["rows"]


def in_force_everywhere():
    # Right after start an entry may not know all instances yet, so compare with the full count.
    expected = len(FLEET["entries"]) + len(FLEET["endpoints"])
    code, status = run_operator("status")
    return code == 0 and status.get("instances") == status.get("in_force") == expected


def main(name):
    site = SITES[name]
    rows = []
    served = []

    def add_row(what, status, headers, note):
        rows.append((what, str(status), headers.get("X-Laurelcroft-Model", "-"),
                     headers.get("X-Laurelcroft-Version", "-"), note))
        if status == 200:
            served.append(headers["X-Laurelcroft-Request-Id"])

    wait_until(in_force_everywhere, "the bundle to be in force everywhere")
    for model in (site["cheap"], site["costly"]):
        wait_until(lambda: all(send_request(e, site["office"], model, "warm up")[0] == 200
                               for e in range(3)), "loading of " + model)
    wait_until(lambda: send_request(0, site["office"], site["service"], "warm up",
                                    service=True)[0] == 200, "the service")

    status, headers, _ = send_request(0, site["office"], site["once"], site["words"][0] + " 1",
                                      key="term-1")
    add_row("runs at most once", status, headers, "on the last tier, claimed in the table")
    status, headers, _ = send_request(1, site["office"], site["once"], site["words"][0] + " 1",
                                      key="term-1")
    add_row("same key again, other entry", status, headers,
            "replayed: " + headers.get("X-Laurelcroft-Replayed", "no"))
    cheap = escalated = None
    for i in range(200):
        status, headers, _ = send_request(i, site["office"], site["cascade"],
                                          f"{site['words'][1]} {i}")
        if status == 200 and headers["X-Laurelcroft-Model"] == site["cheap"] and not cheap:
            cheap = (status, headers)
        if status == 200 and headers["X-Laurelcroft-Model"] == site["costly"] and not escalated:
            escalated = (status, headers)
        if cheap and escalated:
            break
    add_row("cascade", *cheap, "the cheap answer suffices")
    add_row("cascade", *escalated, "escalated")
    status, headers, _ = send_request(2, site["public"], site["cheap"], site["words"][2] + " 7")
    add_row("public query", status, headers, "cheap model only")
    status, headers, _ = send_request(0, site["office"], site["service"], "go", service=True)
    add_row("plain service", status, headers, "not repeated")

    status, headers, _ = send_request(0, site["office"], site["costly"] + "@" + site["new"],
                                      "first draft")
    session = headers["X-Laurelcroft-Session"]
    add_row("session on the new version", status, headers, "begins")
    hash_ = edit_as_both_operators("roll-forward", site["costly"], "50")
    wait_until(in_force_everywhere, "the next epoch to be in force everywhere")
    status, headers, _ = send_request(1, site["office"], site["costly"], "second draft",
                                      session=session)
    add_row("same session, after a roll-forward", status, headers, "keeps its version")
    edit_as_both_operators("withdraw", site["costly"] + "@" + site["new"])
    wait_until(in_force_everywhere, "the withdrawal to be in force everywhere")
    status, headers, body = send_request(2, site["office"], site["costly"], "third draft",
                                         session=session)
    add_row("same session, after a withdrawal", status, headers, body["error"]["code"])
    status, headers, _ = send_request(2, site["office"], site["costly"], "new draft")
    add_row("new session", status, headers, "on the settled version")

    wait_until(lambda: all(len(read_bills(i)) == 1 for i in served), "one bill for each request")
    widths = [max(len(row[i]) for row in rows) for i in range(5)]
    print(f"\n{name}: {len(FLEET['entries'])} entries, {len(FLEET['endpoints'])} endpoints")
    for row in rows:
        print("  " + "  ".join(cell.ljust(width) for cell, width in zip(row, widths)))
    print(f"  {len(set(served))} requests served, one bill each; bundle {hash_[:12]} was rolled "
          "forward, then its version withdrawn")


def edit_as_both_operators(*words):
    """Edits the bundle as the first operator, signs as the second and accepts the edit."""
    code, report = run_operator(*words)
    assert code == 6, report
    hash_ = report["hash"]
    assert run_operator("sign", hash_, "--key-file", FLEET["key_files"][1])[0] == 0
    code, report = run_operator("accept", hash_)
    assert code == 0, report
    return hash_


if __name__ == "__main__":
    main(sys.argv[1])
