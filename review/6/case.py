"""A burst of timed jobs, each an hourly batch for a year. The leader holds each time of each job in memory and goes over
the `memory_mb` of its settings, for which the platform kills it; so does each leader after it. Nothing that was accepted
is answered any more."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-ins-2"))

from lab import Cluster, call, CannotRun, configuration, finish, route, run_case

USUAL = 40
BURST_X = 2.6  # burst: x times the traffic of a class; x = 2.6 is the largest of boe-genova
TIMES = 8760  # hourly for a year
HOUR_MS = 3600 * 1000
FINISH_S = 14.0
ASK_S = 25.0
MEMORY_MB = 256  # of a core machine, as the settings of the site say
CORES = [f"core{number}" for number in range(1, 6)]


class Platform:
    """Kills a process that goes over its `memory_mb`, and starts it again after a short delay, as DEPLOY says."""

    def __init__(self, cluster, record):
        self.cluster, self.record = cluster, record
        self.is_up = True
        self.kills = {name: 0 for name in CORES}
        self.most = {name: 0.0 for name in CORES}
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def resident_mb(self, name):
        try:
            with open(f"/proc/{self.cluster.processes[name].pid}/status", encoding="ascii") as file:
                return next(int(line.split()[1]) / 1024 for line in file if line.startswith("VmRSS"))
        except (OSError, StopIteration):
            return 0.0

    def watch(self):
        while self.is_up:
            for name in CORES:
                used = self.resident_mb(name)
                self.most[name] = max(self.most[name], used)
                if used > MEMORY_MB:
                    self.record.line(f"platform: {name} uses {used:.0f} MB of {MEMORY_MB} and is killed")
                    self.kills[name] += 1
                    self.cluster.kill(name)
                    time.sleep(0.3)
                    self.cluster.start(name)
            time.sleep(0.05)

    def stop(self):
        self.is_up = False
        self.thread.join()


def main(record, trouble):
    cluster = Cluster(record, cores=5, fronts=1)
    cluster.start_all()
    cluster.bootstrap = False
    cluster.configure(configuration(1, [route("r-queue", "/queue/", "service")], ["service"]))
    cluster.wait_ready()
    time.sleep(1.0)
    platform = Platform(cluster, record)
    first_ms = int(time.time() * 1000) + HOUR_MS
    job = {"spec": "hourly", "stages": [{"count": 2, "cpu": 240, "mem_mb": 250, "estimate_ms": 560}], "repeat": TIMES,
           "first_run_ms": first_ms, "interval_ms": HOUR_MS}
    accepted = []
    burst_ends = time.monotonic() + 15
    for number in range(int(USUAL * (BURST_X if trouble else 1))):
        if time.monotonic() > burst_ends:
            break
        status, _ = call(cluster.front(), "POST", f"/queue/{number:016x}", job, {"Deadline-Ms": "3000"})
        if status == 200:
            accepted.append(f"{number:016x}")
        else:
            record.line(f"client: POST of job {number}: {status}")
    record.line(f"client: {len(accepted)} timed jobs of {TIMES} times accepted")
    if len(accepted) < USUAL:
        raise CannotRun("too few jobs were accepted")
    traffic_ended = time.monotonic()
    time.sleep(FINISH_S)
    # From `finish_s` after the end of the traffic on, jobs are asked for.
    known = set()
    while time.monotonic() < traffic_ended + FINISH_S + ASK_S:
        for job_id in [accepted[0], accepted[len(accepted) // 2], accepted[-1]]:
            status, state = call(cluster.front(), "GET", f"/queue/{job_id}", headers={"Deadline-Ms": "3000"}, timeout=3.5)
            record.line(f"client: GET of {job_id}: {status} {state.decode(errors='replace')}")
            if status == 200:
                known.add(job_id)
        if len(known) == 3:
            break
        time.sleep(0.3)
    platform.stop()
    record.line(f"most memory, MB: { {name: round(most) for name, most in platform.most.items()} }")
    record.line(f"killed for memory: {platform.kills}")
    record.line(f"jobs of three that were answered {FINISH_S:.0f} to {FINISH_S + ASK_S:.0f} s after the traffic: {len(known)}")
    return finish(record, cluster, len(known) < 3)


run_case(main, FOLDER)
