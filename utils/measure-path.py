#!/usr/bin/env python3
"""Measures the request path through real processes: added latency, CPU time and memory.

Needs a build and starts its own fleet. Every load has a fixed rate and duration.
"""
import json
import os
import subprocess
import sys
import time
import urllib.request

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
LOAD = "build/bin/laurelcroft-load"
ENTRIES = ("entry-1", "entry-2", "entry-3")


def run(*command):
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if done.returncode != 0:
        sys.exit(f"measure: {' '.join(command)}: {done.stdout}{done.stderr}")
    return done.stdout


def read_pids():
    lines = open("build/fleet/pids", encoding="utf-8").read().split("\n")
    return {line.split()[1]: int(line.split()[0]) for line in lines if line}


def processor_seconds(pid):
    fields = open(f"/proc/{pid}/stat", encoding="utf-8").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mb(pid):
    for line in open(f"/proc/{pid}/status", encoding="utf-8"):
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def run_load(urls, **more):
    command = [LOAD, "http", "--urls", ",".join(urls)]
    for name, value in more.items():
        if value is True:
            command.append("--" + name.replace("_", "-"))
        else:
            command += ["--" + name.replace("_", "-"), str(value)]
    return json.loads(run(*command))


def fit_line(points):
    """Fits a line by least squares. Returns slope, intercept and the largest absolute residual."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    slope = (sum((x - mean_x) * (y - mean_y) for x, y in points)
             / sum((x - mean_x) ** 2 for x, _ in points))
    base = mean_y - slope * mean_x
    return slope, base, max(abs(y - base - slope * x) for x, y in points)


def start_fleet(site, size="small"):
    os.environ["RATED_PERCENT"] = "0"
    run("utils/fleet.sh", "up", site, size)
    run("utils/operator.sh", "in-force", f"examples/{site}.yaml")
    fleet = json.load(open("build/fleet/fleet.json", encoding="utf-8"))
    end = time.monotonic() + 20
    while time.monotonic() < end:
        status = json.loads(run("utils/operator.sh", "status", "--output", "json"))
        if status["in_force"] == status["instances"]:
            break
        time.sleep(0.1)
    time.sleep(1)  # gives endpoints time to load the versions
    return fleet


def engine_urls(fleet, pool):
    return [item["url"] for item in fleet["endpoints"] if item["pool"] == pool]


def print_quantiles(name, result):
    first = result["first_token"]
    print(f"  {name}: first token p50 {first['p50_ms']:.2f} ms, p99 {first['p99_ms']:.2f} ms; "
          f"between tokens p50 {result['between_tokens']['p50_ms']:.2f} ms; "
          f"complete {result['complete']} of {result['sent']}")


def measure_added_latency(fleet):
    print("added latency at 500 requests/s over three entries, same engines, same run")
    common = {"rate": 500, "for": 8, "tokens": 8}
    direct = run_load(engine_urls(fleet, "portal"), model="portal-small@3.1", **common)
    routed = run_load(fleet["entries"], model="portal-small", key="key-family-portal", **common)
    print_quantiles("direct", direct)
    print_quantiles("routed", routed)
    for share in ("p50_ms", "p99_ms"):
        added = routed["first_token"][share] - direct["first_token"][share]
        print(f"  added at {share[:3]}: {added:.2f} ms")


def measure_rate_slope(fleet):
    print("processor time by rate (portal-small, 8 tokens streamed), each rate for 6 s")
    by_role = {"entry": [], "agent": []}
    for rate in (60, 120, 240):
        before = {name: processor_seconds(pid) for name, pid in read_pids().items()}
        result = run_load(fleet["entries"], model="portal-small", key="key-family-portal",
                          rate=rate, tokens=8, **{"for": 6})
        used = {name: processor_seconds(pid) - before[name] for name, pid in read_pids().items()}
        entry = sum(used[name] for name in ENTRIES)
        agent = sum(value for name, value in used.items() if name.startswith("agent-portal"))
        by_role["entry"].append((result["complete"] / 6, entry / 6))
        by_role["agent"].append((result["complete"] / 6, agent / 6))
    for role, points in by_role.items():
        slope, base, residual = fit_line(points)
        shown = ", ".join(f"{x:.0f}/s: {100 * y:.1f}%" for x, y in points)
        print(f"  {role}s together: {shown} of a core; {slope * 1e6:.0f} us a request, "
              f"{100 * base:.2f}% at rest, residual {100 * residual:.2f}%")


def measure_token_slope(fleet):
    print("processor time by tokens of an answer, 40 requests/s streamed, each for 6 s")
    by_role = {"entry": [], "agent": []}
    for tokens in (8, 64, 256):
        before = {name: processor_seconds(pid) for name, pid in read_pids().items()}
        result = run_load(fleet["entries"], model="portal-small", key="key-family-portal", rate=40,
                          tokens=tokens, **{"for": 6})
        time.sleep(1)  # lets answers that began late finish
        used = {name: processor_seconds(pid) - before[name] for name, pid in read_pids().items()}
        done = max(1, result["complete"])
        entry = sum(used[name] for name in ENTRIES)
        agent = sum(value for name, value in used.items() if name.startswith("agent-portal"))
        by_role["entry"].append((tokens, entry / done))
        by_role["agent"].append((tokens, agent / done))
    for role, points in by_role.items():
        slope, base, residual = fit_line(points)
        shown = ", ".join(f"{x}: {1e6 * y:.0f} us" for x, y in points)
        print(f"  {role}: {shown} a request; {slope * 1e6:.1f} us a token, "
              f"{base * 1e6:.0f} us a request, residual {residual * 1e6:.0f} us")


def print_link_memory(fleet):
    """Prints the memory of the largest entry and the number of connected agents."""
    names = read_pids()
    agents = sum(1 for name in names if name.startswith("agent-"))
    memory = max(resident_mb(names[name]) for name in ENTRIES)
    print(f"memory of an entry connected to {agents} agents: {memory:.2f} MB")
    assert fleet


def measure_single_entry(fleet):
    print("one entry alone, whole answers of one token, processor time of the entry")
    pid = read_pids()["entry-1"]
    best = 0.0
    for rate in (500, 1000, 2000, 3000):
        before = processor_seconds(pid)
        result = run_load(fleet["entries"][:1], model="portal-small", key="key-bureau-office",
                          rate=rate, tokens=1, whole=True, **{"for": 4})
        used = (processor_seconds(pid) - before) / 4
        done = result["requests_per_second"]
        per_core = done / used if used > 0 else 0
        best = max(best, per_core)
        print(f"  {rate}/s sent: {done:.0f}/s answered, errors {result['errors']}, "
              f"{100 * used:.0f}% of a core, {per_core:.0f} requests a second of one core")
    print(f"  best: {best:.0f} requests/s on one core's worth of time")


def measure_idle_usage(fleet):
    names = read_pids()
    time.sleep(5)
    before = {name: processor_seconds(pid) for name, pid in names.items()}
    time.sleep(10)
    print("at rest, 10 s, 3 entries and 7 agents")
    for prefix in ("entry-", "agent-"):
        chosen = [name for name in names if name.startswith(prefix)]
        used = (sum(processor_seconds(names[name]) - before[name] for name in chosen)
                / 10 / len(chosen))
        memory = max(resident_mb(names[name]) for name in chosen)
        print(f"  {prefix[:-1]}: {100 * used:.2f}% of a core, resident at most {memory:.1f} MB")
    assert fleet


def measure_memory_slope():
    for size in ("small", "full"):
        fleet = start_fleet("bureau", size)
        try:
            print_link_memory(fleet)
        finally:
            run("utils/fleet.sh", "down")


def main():
    measure_memory_slope()
    fleet = start_fleet("bureau")
    try:
        measure_idle_usage(fleet)
        measure_added_latency(fleet)
        measure_rate_slope(fleet)
        measure_token_slope(fleet)
        measure_single_entry(fleet)
        for url in fleet["admin"][:1]:
            urllib.request.urlopen(url + "/metrics", timeout=5).read()
    finally:
        run("utils/fleet.sh", "down")


if __name__ == "__main__":
    main()
