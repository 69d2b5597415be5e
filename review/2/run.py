"""Reads of the desired state after the leading control process was killed and started again."""

import json
import multiprocessing
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from deployment import Deployment, Record, call  # noqa: E402

CONFIG_APPLY_S = 3.0  # config_apply_ms of gridlog-ie
ROUTES = 553          # 3 with traffic, 110 without, and 440 more of big_config
OPERATORS = 8         # calls in progress at once, at most
BACKOFFS_S = (0.001, 0.002, 0.003, 0.004, 0.005)
RESTART_S = 0.3       # "a process that exits or is killed is restarted after a short delay"
PATH = "/-/configuration"


def state(version):
    routes = [{"name": f"r-{n}", "host": f"127.18.{n // 250}.{n % 250 + 1}", "path_prefix": "/8443/",
               "type": "idempotent", "timeout_ms": 1500 + version % 1000, "target_latency_ms": 250,
               "priority": 2, "service": "huvo11a" if n % 2 else "wuno96b", "max_attempts": 2}
              for n in range(ROUTES)]
    services = [{"name": name, "health_path": "/health", "connection_limit": 2000, "protocol": "h1",
                 "tls": False} for name in ("huvo11a", "wuno96b")]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Operator:
    """Sends changes one after the other and reads between them."""

    def __init__(self, deployment, controls, record):
        self.port = deployment.control_port
        self.controls = controls
        self.record = record
        self.version = 0
        self.turn = 0
        self.acked_at = 0.0

    def change(self):
        """Sends the next desired state until it is acknowledged."""
        version = self.version + 1 + self.turn % 3
        body = json.dumps(state(version))
        for _ in range(200):
            self.turn += 1
            machine = self.controls[self.turn % len(self.controls)]
            status, _ = call(machine.address, self.port, "PUT", PATH, body)
            self.record.write(f"PUT version {version} at {machine.name}: {status}")
            if status == 200:
                self.version = version
                self.acked_at = time.monotonic()
                return
            time.sleep(0.05)
        raise RuntimeError("no change was acknowledged")

    def leader(self):
        """The machine that answers without a redirect."""
        for _ in range(200):
            for machine in self.controls:
                status, _ = call(machine.address, self.port, "GET", PATH, redirects=0)
                if status == 200:
                    return machine
            time.sleep(0.05)
        raise RuntimeError("no machine leads")

    def read(self, until, first, answers):
        """Reads the desired state again and again. Runs in a process of its own.

        A read moves on to another machine, with increasing backoff, after a failure, and is given
        up after some attempts.
        """
        found = []
        turn = first
        while time.monotonic() < until:
            for backoff_s in BACKOFFS_S:
                machine = self.controls[turn % len(self.controls)]
                turn += 1
                sent = time.monotonic()
                status, text = call(machine.address, self.port, "GET", PATH)
                if status == 200:
                    version = json.loads(text)["version"]
                    found.append((machine.name, sent - self.acked_at, version))
                    break
                time.sleep(backoff_s)
        answers.put(found)

    def read_for(self, seconds):
        """Reads with the permitted number of calls at once. Returns (answered, older)."""
        answers = multiprocessing.Queue()
        until = time.monotonic() + seconds
        readers = [multiprocessing.Process(target=self.read, args=(until, n, answers))
                   for n in range(OPERATORS)]
        for reader in readers:
            reader.start()
        found = [answer for _ in readers for answer in answers.get(timeout=10)]
        for reader in readers:
            reader.join()
        older = [row for row in found if row[1] > CONFIG_APPLY_S and row[2] < self.version]
        for name, late, version in older:
            self.record.write(f"GET at {name}, sent {late:.3f} s after the ack of version "
                              f"{self.version}: 200 with version {version}  BROKEN")
        return len(found), len(older)


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = os.path.dirname(os.path.abspath(__file__))
    record = Record(os.path.join(folder, "record.txt"))
    end = time.monotonic() + 96
    with Deployment() as deployment:
        controls = deployment.add_control(5)
        for machine in controls:
            machine.start()
        operator = Operator(deployment, controls, record)
        time.sleep(3)
        for _ in range(60):
            operator.change()
        rounds = answered = older = 0
        while time.monotonic() < end:
            rounds += 1
            operator.change()
            time.sleep(CONFIG_APPLY_S + 0.1)
            if trouble:
                leader = operator.leader()
                record.write(f"{leader.name}, which leads, is killed")
                leader.kill()
                leader.wait()
                time.sleep(RESTART_S)
                leader.start()
                record.write(f"{leader.name} is started again")
            found, broken = operator.read_for(1.6)
            answered += found
            older += broken
            record.write(f"round {rounds}: {found} reads answered, {broken} of them older")
        summary = f"{rounds} rounds, {answered} reads answered, {older} with an older version"
        record.write(summary)
        print(summary)
        return 1 if older else 0 if answered else 2


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Exception as failure:  # the case could not run
        print("could not run:", repr(failure))
        sys.exit(2)
